package wire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"
)

const (
	// maxDigits is the length of the largest 64-bit number in decimal.
	maxDigits = 20
	// safeDigits is how many decimal digits always fit in 64 bits.
	safeDigits = 18
	// hexDigits is the length of a 64-bit number in hexadecimal.
	hexDigits = 16
)

// fields holds the name=value fields of one line. Its getters record the first error in err and go on with a zero value,
// so that a caller checks once, after the last of them. The required getters record an error if the field is missing.
type fields struct {
	list []field
	err  error
}

// field is one name=value pair of a line, in the line's own memory.
type field struct{ name, value []byte }

// parse splits a line into its fields and returns the message's name.
func (f *fields) parse(line []byte) (message []byte, err error) {
	f.list = f.list[:0]
	f.err = nil
	message, rest, more := bytes.Cut(line, []byte{' '})
	for more {
		var text []byte
		equals := bytes.IndexByte(rest, '=')
		if equals > 0 && runsToLineEnd(rest[:equals]) {
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

// runsToLineEnd reports whether a field's value may contain spaces.
func runsToLineEnd(name []byte) bool {
	return string(name) == fieldSettings || string(name) == fieldText
}

// fail records an error, unless there is one.
func (f *fields) fail(name, reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %s", name, reason)
	}
}

// optional returns a field's value, or nil if the field is missing.
func (f *fields) optional(name string) []byte {
	for i := range f.list {
		if string(f.list[i].name) == name {
			return f.list[i].value
		}
	}
	return nil
}

// required returns a field's value, and nil after an error if the field is missing.
func (f *fields) required(name string) []byte {
	value := f.optional(name)
	if value == nil {
		f.fail(name, "missing")
	}
	return value
}

// has reports whether the line has a field.
func (f *fields) has(name string) bool { return f.optional(name) != nil }

// requiredUint returns a decimal number of at most bits bits.
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
		f.fail(name, fmt.Sprintf("%q is not a number in range", value))
	}
	return x
}

// parseDecimal parses an unsigned decimal number, without an allocation if it is short.
func parseDecimal(value []byte) (uint64, bool) {
	if len(value) == 0 || len(value) > maxDigits {
		return 0, false
	}
	if len(value) > safeDigits {
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

// requiredDuration returns a duration, which is written in microseconds and may be negative.
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
		f.fail(name, fmt.Sprintf("%q is not a time", value))
		return 0
	}
	return time.Duration(x) * unit
}

// requiredHex returns a number of 64 bits, which is written in 16 lower-case hexadecimal digits.
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
		f.fail(name, fmt.Sprintf("%q is not 16 hex digits", value))
	}
	return x
}

// flag returns whether a field is 1. It may be missing.
func (f *fields) flag(name string) bool {
	value := f.optional(name)
	if value != nil && string(value) != "1" && string(value) != "0" {
		f.fail(name, fmt.Sprintf("%q is not 1 or 0", value))
	}
	return string(value) == "1"
}

// optionalFloat returns a finite number, or the default if the field is missing.
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
		f.fail(name, fmt.Sprintf("%q is not a number", value))
	}
	return x
}
