package membership

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/hashicorp/memberlist"
)

const (
	// maxKeyFileSize bounds the key file, in bytes.
	maxKeyFileSize = 4096
	// maxKeys is the maximum number of keys in a key file.
	maxKeys = 8
)

// keyring holds the encryption keys of a key file, which has one base64-encoded key of 16, 24 or 32 bytes per line. The first
// key, the primary one, encrypts; all keys decrypt. To rotate a key without downtime, append the new key on all members, then
// move it to the front on all members, then remove the old one. A nil keyring has no keys, and gossip is not encrypted.
//
// It is not safe for concurrent use, unlike memberlist's Keyring inside it.
type keyring struct {
	path     string
	lastText string // file content at the last load; empty after a read error
	keys     [][]byte
	ring     *memberlist.Keyring
}

// loadKeyring loads a key file. It returns a nil keyring for an empty path.
func loadKeyring(path string) (*keyring, error) {
	if path == "" {
		return nil, nil
	}
	text, err := readKeyFile(path)
	if err != nil {
		return nil, err
	}
	keys, err := parseKeys(path, text)
	if err != nil {
		return nil, err
	}
	ring, err := memberlist.NewKeyring(keys, keys[0])
	if err != nil {
		return nil, &KeyFileError{Path: path, Err: err}
	}
	return &keyring{path: path, lastText: text, keys: keys, ring: ring}, nil
}

// memberlistRing returns memberlist's Keyring, or nil without keys.
func (k *keyring) memberlistRing() *memberlist.Keyring {
	if k == nil {
		return nil
	}
	return k.ring
}

// reload applies the file's content if it has changed since the last load. It returns the error of an invalid or unreadable
// file once, and keeps the current keys.
func (k *keyring) reload() (changed bool, err error) {
	if k == nil {
		return false, nil
	}
	text, err := readKeyFile(k.path)
	if err != nil {
		alreadyReported := k.lastText == ""
		k.lastText = ""
		if alreadyReported {
			return false, nil
		}
		return false, err
	}
	if text == k.lastText {
		return false, nil
	}
	k.lastText = text
	keys, err := parseKeys(k.path, text)
	if err != nil {
		return false, err
	}
	return true, k.replaceKeys(keys)
}

// replaceKeys replaces all keys of the ring. The new primary key is in use before any key is removed.
func (k *keyring) replaceKeys(keys [][]byte) error {
	var errs []error
	for _, key := range keys {
		errs = append(errs, k.ring.AddKey(key))
	}
	errs = append(errs, k.ring.UseKey(keys[0]))
	for _, old := range k.keys {
		isRetained := slices.ContainsFunc(keys, func(key []byte) bool { return slices.Equal(key, old) })
		if !isRetained {
			errs = append(errs, k.ring.RemoveKey(old))
		}
	}
	k.keys = keys
	return errors.Join(errs...)
}

// readKeyFile reads a key file of at most maxKeyFileSize bytes.
func readKeyFile(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", &KeyFileError{Path: path, Err: err}
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxKeyFileSize+1))
	if err == nil && len(text) > maxKeyFileSize {
		err = fmt.Errorf("%w: more than %d bytes", ErrKeyFileTooLarge, maxKeyFileSize)
	}
	if err != nil {
		return "", &KeyFileError{Path: path, Err: err}
	}
	return string(text), nil
}

// parseKeys decodes the keys in the text of a key file, one per line. Blank lines and lines that start with # are skipped.
// The path is only used in errors.
func parseKeys(path, text string) ([][]byte, error) {
	var keys [][]byte
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil || memberlist.ValidateKey(key) != nil {
			return nil, &KeyFileError{Path: path, Line: i + 1, Err: ErrInvalidKey}
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 || len(keys) > maxKeys {
		cause := fmt.Errorf("%w: got %d keys, want 1 to %d", ErrKeyCount, len(keys), maxKeys)
		return nil, &KeyFileError{Path: path, Err: cause}
	}
	return keys, nil
}
