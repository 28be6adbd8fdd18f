package framing

import "bytes"

// maxTrailerFields bounds the fields behind a chunked body that are passed on. Parsed they need far more memory than their bytes, and
// upstreams get the body without them: further ones are dropped.
const maxTrailerFields = 8

// trailerFilter drops fields behind a chunked body. The connection's lock guards it.
type trailerFilter struct {
	fields  int  // complete lines of the current trailer
	inField bool // a part of the current line, which is not empty, has been admitted or dropped
}

// admit returns how many bytes of a part of the lines behind the last chunk are passed on: all or none. The part is a line, or a part
// of one. The empty line that ends the request is always passed on.
func (f *trailerFilter) admit(part []byte) (passed int) {
	endsLine := part[len(part)-1] == '\n'
	if isEmpty := len(bytes.Trim(part, "\r\n")) == 0; isEmpty && !f.inField {
		if endsLine {
			f.fields = 0
		}
		return len(part)
	}
	f.inField = !endsLine
	admitted := f.fields < maxTrailerFields
	if endsLine {
		f.fields++
	}
	if admitted {
		return len(part)
	}
	return 0
}
