// Package tomlfile decodes TOML strictly: a key that has no field in the destination is an error, which names the line and
// the most similar known key. Otherwise a misspelt key would silently leave its setting at the default.
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

// tagName is the struct tag that holds the TOML key of a field. The value "-" excludes the field.
const tagName = "toml"

// UnknownKeyError reports a key in a file that has no field in the destination.
type UnknownKeyError struct {
	Path       string
	Line       int    // 1-based
	Key        string // dotted, with its tables
	Suggestion string // most similar known key of the same table
}

// Error returns one line with the file, the line, the key and the suggestion.
func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("%s:%d: unknown key %q; did you mean %q?", e.Path, e.Line, e.Key, e.Suggestion)
}

// ValueError reports a value in a file that can't be decoded, or a syntax error.
type ValueError struct {
	Path string
	Line int    // 1-based
	Key  string // dotted, with its tables; may be empty for a syntax error
	Err  error
}

// Error returns one line with the file, the line, the key and the cause.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %v", e.Path, e.Line, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *ValueError) Unwrap() error { return e.Err }

// Decode decodes text into a pointer to a struct, all of whose fields have a toml tag. The path is only used in error
// messages, each of which is one line that begins with it. The error is an UnknownKeyError or a ValueError if it concerns a
// line of the file.
func Decode(path string, text []byte, into any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(into)
	if err == nil {
		return nil
	}
	var strictError *toml.StrictMissingError
	if errors.As(err, &strictError) && len(strictError.Errors) > 0 {
		first := strictError.Errors[0]
		line, _ := first.Position()
		key := first.Key()
		return &UnknownKeyError{
			Path:       path,
			Line:       line,
			Key:        strings.Join(key, "."),
			Suggestion: mostSimilarKey(reflect.TypeOf(into).Elem(), key),
		}
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, _ := decodeError.Position()
		return &ValueError{Path: path, Line: line, Key: strings.Join(decodeError.Key(), "."), Err: decodeError}
	}
	return fmt.Errorf("%s: %w", path, err)
}

// Duration is a duration in Go's notation, such as "250ms" or "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration such as "1.5s". The error quotes the text.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("invalid duration %q: want a value such as \"1.5s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats a duration such as "1.5s". It never returns an error.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// mostSimilarKey returns the known key with the smallest edit distance to the unknown key at a path, from the same table.
// The first field of the table wins a tie.
func mostSimilarKey(root reflect.Type, keyPath []string) string {
	last := len(keyPath) - 1
	table := tableOf(root, keyPath[:last])
	closest := ""
	closestDistance := 0
	for _, field := range reflect.VisibleFields(table) {
		known := field.Tag.Get(tagName)
		if known == "-" {
			continue
		}
		distance := levenshtein.ComputeDistance(keyPath[last], known)
		if closest == "" || distance < closestDistance {
			closest = known
			closestDistance = distance
		}
	}
	return closest
}

// tableOf returns the struct type of the table at a path of keys, or root if there is no such table.
func tableOf(root reflect.Type, keyPath []string) reflect.Type {
	table := root
	for _, key := range keyPath {
		table = elementType(fieldType(table, key))
		if table.Kind() != reflect.Struct {
			table = root
		}
	}
	return table
}

// fieldType returns the type of the struct field with a TOML key, or the struct type itself if there is none.
func fieldType(table reflect.Type, key string) reflect.Type {
	for _, field := range reflect.VisibleFields(table) {
		if field.Tag.Get(tagName) == key {
			return field.Type
		}
	}
	return table
}

// elementType unwraps slices and then a map to the type of their elements. The keys of a map are names chosen in the file,
// such as those of regions, and not settings.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() == reflect.Map {
		t = t.Elem()
	}
	return t
}
