package durable

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	recordSuffix     = ".state"
	temporarySuffix  = ".new"
	quarantinePrefix = "aside."

	maxKindLength = 32 // bytes
	// generationDigits is the number of hexadecimal digits of a generation in a file name. It is fixed so that the names of
	// a kind sort by generation.
	generationDigits = 16
)

// recordFileName returns the name of the file that holds a generation of a kind.
func recordFileName(kind string, generation uint64) string {
	return fmt.Sprintf("%s-%0*x%s", kind, generationDigits, generation, recordSuffix)
}

// parseFileName is the inverse of recordFileName. ok is false for a name that is not a record's, and for a quarantined file.
func parseFileName(name string) (kind string, generation uint64, ok bool) {
	base, hasSuffix := strings.CutSuffix(name, recordSuffix)
	if !hasSuffix || isQuarantined(base) {
		return "", 0, false
	}
	separator := strings.LastIndexByte(base, '-')
	if separator < 1 {
		return "", 0, false
	}
	kind = base[:separator]
	digits := base[separator+1:]
	if len(digits) != generationDigits || !isValidKind(kind) {
		return "", 0, false
	}
	generation, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return "", 0, false
	}
	return kind, generation, true
}

// isQuarantined reports whether a file name is that of a quarantined file.
func isQuarantined(name string) bool { return strings.HasPrefix(name, quarantinePrefix) }

// isValidKind reports whether a string is a valid name of a kind: 1 to maxKindLength lower-case letters and hyphens.
func isValidKind(kind string) bool {
	if kind == "" || len(kind) > maxKindLength {
		return false
	}
	isInvalid := func(r rune) bool { return r != '-' && (r < 'a' || r > 'z') }
	return !strings.ContainsFunc(kind, isInvalid)
}
