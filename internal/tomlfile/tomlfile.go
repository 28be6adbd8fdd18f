// Package tomlfile decodes TOML strictly: a key that the destination lacks is an error that names the line and the most
// similar known key, so that a misspelt key is never replaced by its default in silence.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
)

// tagName is the struct tag with the key of a field; the value "-" excludes the field.
const tagName = "toml"

// UnknownKeyError says that a file has a key that the destination lacks.
type UnknownKeyError struct {
	Path       string
	Line       int    // from 1
	Key        string // with its tables, separated by dots
	Suggestion string // the most similar known key of the same table
}

// Error returns one line with the file, the line, the key and the suggestion.
func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("%s:%d: unknown key %q; did you mean %q?", e.Path, e.Line, e.Key, e.Suggestion)
}

// ValueError says that a value in a file can't be decoded, or that its syntax is wrong.
type ValueError struct {
	Path string
	Line int    // from 1
	Key  string // with its tables, separated by dots; may be empty after an error of syntax
	Err  error
}

// Error returns one line with the file, the line, the key and the cause.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %v", e.Path, e.Line, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *ValueError) Unwrap() error { return e.Err }

// Decode decodes text into a pointer to a struct, all of whose fields have a toml tag. The path is for messages: an error
// is one line that begins with it. It is an UnknownKeyError or a ValueError if a line of the file is at fault.
func Decode(path string, text []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	if err == nil {
		return nil
	}
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		first := unknownKeys.Errors[0]
		line, _ := first.Position()
		key := first.Key()
		return &UnknownKeyError{
			Path:       path,
			Line:       line,
			Key:        strings.Join(key, "."),
			Suggestion: mostSimilarKey(reflect.TypeOf(into).Elem(), key),
		}
	}
	var badValue *toml.DecodeError
	if errors.As(err, &badValue) {
		line, _ := badValue.Position()
		return &ValueError{Path: path, Line: line, Key: strings.Join(badValue.Key(), "."), Err: badValue}
	}
	return fmt.Errorf("%s: %w", path, err)
}

// Duration is a duration in a file, written as Go writes it: "250ms", "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration such as "1.5s". It returns an error that quotes any other text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration such as \"1.5s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats a duration such as "1.5s". It never returns an error.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// mostSimilarKey returns the known key of the same table with the fewest edits from an unknown one; of several the first
// that the table has.
func mostSimilarKey(root reflect.Type, key []string) string {
	last := len(key) - 1
	table := tableOf(root, key[:last])
	best := ""
	bestDistance := 0
	for _, field := range reflect.VisibleFields(table) {
		known := field.Tag.Get(tagName)
		if known == "-" {
			continue
		}
		distance := levenshtein.ComputeDistance(key[last], known)
		if best == "" || distance < bestDistance {
			best = known
			bestDistance = distance
		}
	}
	return best
}

// tableOf returns the struct type of the table at a path of keys, or root if the path leaves the known tables.
func tableOf(root reflect.Type, path []string) reflect.Type {
	table := root
	for _, key := range path {
		table = elementType(fieldType(table, key))
		if table.Kind() != reflect.Struct {
			table = root
		}
	}
	return table
}

// fieldType returns the type of the field of a struct that has a key, or the struct itself if none has.
func fieldType(table reflect.Type, key string) reflect.Type {
	for _, field := range reflect.VisibleFields(table) {
		if field.Tag.Get(tagName) == key {
			return field.Type
		}
	}
	return table
}

// elementType returns the type of the entries of slices, and of a map, whose keys are names of the file's own.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() == reflect.Map {
		t = t.Elem()
	}
	return t
}
