package wire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"
)

const (
	// maxDigits is the number of decimal digits of the largest 64-bit number.
	maxDigits = 20
	// maxSafeDigits is a number of decimal digits that can't overflow 64 bits.
	maxSafeDigits = 18
	// hexDigits is the number of hexadecimal digits of a 64-bit number.
	hexDigits = 16
)

// fields holds the name=value fields of one line. Its getters record the first error in err and still return a value, so
// that a caller checks err once, after the last getter. The required getters record an error if the field is missing.
type fields struct {
	list []field
	err  error
}

// field is one name=value pair of a line. Both slices alias the line, and are valid as long as it is.
type field struct{ name, value []byte }

// parse splits a line into its fields and returns the message's name.
func (f *fields) parse(line []byte) (message []byte, err error) {
	f.list = f.list[:0]
	f.err = nil
	message, rest, more := bytes.Cut(line, []byte{' '})
	for more {
		var text []byte
		equals := bytes.IndexByte(rest, '=')
		if equals > 0 && valueMayContainSpaces(rest[:equals]) {
			text = rest
			more = false
		} else {
			text, rest, more = bytes.Cut(rest, []byte{' '})
			equals = bytes.IndexByte(text, '=')
		}
		if equals <= 0 {
			return nil, fmt.Errorf("%s: part %q is not name=value", message, text)
		}
		f.list = append(f.list, field{name: text[:equals], value: text[equals+1:]})
	}
	return message, nil
}

// valueMayContainSpaces reports whether the value of a field extends to the end of the line, spaces included.
func valueMayContainSpaces(name []byte) bool {
	return string(name) == fieldSettings || string(name) == fieldText
}

// fail records an error of a field, unless an earlier error has been recorded.
func (f *fields) fail(name, reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %s", name, reason)
	}
}

// optional returns the value of a field, or nil if the field is missing.
func (f *fields) optional(name string) []byte {
	for i := range f.list {
		if string(f.list[i].name) == name {
			return f.list[i].value
		}
	}
	return nil
}

// required returns the value of a field. If the field is missing, it records an error and returns nil.
func (f *fields) required(name string) []byte {
	value := f.optional(name)
	if value == nil {
		f.fail(name, "missing")
	}
	return value
}

// has reports whether the line has a field.
func (f *fields) has(name string) bool { return f.optional(name) != nil }

// requiredUint returns an unsigned decimal number that fits in the given number of bits.
func (f *fields) requiredUint(name string, bits int) uint64 {
	return f.parseUint(name, f.required(name), bits)
}

// optionalUint is like requiredUint, but returns 0 if the field is missing.
func (f *fields) optionalUint(name string, bits int) uint64 {
	return f.parseUint(name, f.optional(name), bits)
}

func (f *fields) parseUint(name string, value []byte, bits int) uint64 {
	if value == nil {
		return 0
	}
	x, ok := parseDecimal(value)
	if !ok || (bits < 64 && x>>bits != 0) {
		f.fail(name, fmt.Sprintf("%q is not an unsigned %d-bit number", value, bits))
	}
	return x
}

// parseDecimal parses an unsigned decimal number. It does not allocate for up to maxSafeDigits digits.
func parseDecimal(value []byte) (uint64, bool) {
	if len(value) == 0 || len(value) > maxDigits {
		return 0, false
	}
	if len(value) > maxSafeDigits {
		x, err := strconv.ParseUint(string(value), 10, 64)
		return x, err == nil
	}
	var x uint64
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, false
		}
		x = x*10 + uint64(c-'0')
	}
	return x, true
}

// requiredDuration returns a duration. The field holds microseconds and may be negative.
func (f *fields) requiredDuration(name string) time.Duration {
	return f.parseDuration(name, f.required(name))
}

// optionalDuration is like requiredDuration, but returns 0 if the field is missing.
func (f *fields) optionalDuration(name string) time.Duration {
	return f.parseDuration(name, f.optional(name))
}

func (f *fields) parseDuration(name string, value []byte) time.Duration {
	if value == nil {
		return 0
	}
	unit := time.Microsecond
	if len(value) > 1 && value[0] == '-' {
		unit = -time.Microsecond
		value = value[1:]
	}
	x, ok := parseDecimal(value)
	if !ok || x > math.MaxInt64/uint64(time.Microsecond) {
		f.fail(name, fmt.Sprintf("%q is not a duration in microseconds", value))
		return 0
	}
	return time.Duration(x) * unit
}

// requiredHex returns a 64-bit number. The field holds exactly 16 lower-case hexadecimal digits.
func (f *fields) requiredHex(name string) uint64 { return f.parseHex(name, f.required(name)) }

// optionalHex is like requiredHex, but returns 0 if the field is missing.
func (f *fields) optionalHex(name string) uint64 { return f.parseHex(name, f.optional(name)) }

func (f *fields) parseHex(name string, value []byte) uint64 {
	if value == nil {
		return 0
	}
	var x uint64
	ok := len(value) == hexDigits
	for _, c := range value {
		switch {
		case '0' <= c && c <= '9':
			x = x<<4 | uint64(c-'0')
		case 'a' <= c && c <= 'f':
			x = x<<4 | uint64(c-'a'+10)
		default:
			ok = false
		}
	}
	if !ok {
		f.fail(name, fmt.Sprintf("%q is not 16 lower-case hex digits", value))
	}
	return x
}

// flag reports whether a field is 1. A missing field counts as 0.
func (f *fields) flag(name string) bool {
	value := f.optional(name)
	if value != nil && string(value) != "1" && string(value) != "0" {
		f.fail(name, fmt.Sprintf("%q is not 1 or 0", value))
	}
	return string(value) == "1"
}

// optionalFloat returns a finite number, or defaultValue if the field is missing.
func (f *fields) optionalFloat(name string, defaultValue float64) float64 {
	value := f.optional(name)
	if value == nil {
		return defaultValue
	}
	return f.parseFloat(name, value)
}

func (f *fields) parseFloat(name string, value []byte) float64 {
	x, err := strconv.ParseFloat(string(value), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail(name, fmt.Sprintf("%q is not a finite number", value))
	}
	return x
}
