package durable

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestOpenFolderRefusesUnsafePaths(t *testing.T) {
	path := t.TempDir()
	if err := os.Symlink(path, filepath.Join(path, "link")); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(path, "file"), nil, fileMode); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(path, "open"), folderMode); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(filepath.Join(path, "open"), 0o777); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, want string }{
		{"link", "symbolic link"},
		{"file", "not a directory"},
		{"open", "by others"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := OpenFolder(filepath.Join(path, c.name))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %s", err, c.want)
			}
		})
	}
}
