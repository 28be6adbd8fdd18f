package report

import (
	"context"
	"image/png"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"sprucehill/internal/lab"
	"sprucehill/internal/lab/labtest"
	"sprucehill/internal/lab/model"
)

// A report is one file without external resources; it has every plot with its axes named, the timetable, and the histories of
// the worst requests. The plots stand beside it as pictures that can be read.
func TestReportIsComplete(t *testing.T) {
	r, err := lab.Model(context.Background(), labtest.Example(t, "zone-fire.toml"), model.Options{})
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	path, err := Write(dir, r)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	for _, outside := range regexp.MustCompile(`(src|href)="[^"#]*"|url\([^)]*\)|@import`).FindAllString(page, -1) {
		t.Errorf("an outside part: %s", outside)
	}
	for _, part := range []string{"time of the day, s", "milliseconds", "attempts a second", "percent of attempts", "share of the worth",
		"dc-b-u1 dc-b-u2 dc-b-u3 and 3 more", "buy-ticket from dc-b", "SIGKILL; started again", "kept"} {
		if !strings.Contains(page, part) {
			t.Errorf("the report lacks %q", part)
		}
	}
	if n := strings.Count(page, "<svg"); n != 6 {
		t.Errorf("%d plots in the page", n)
	}
	pictures, _ := filepath.Glob(filepath.Join(dir, "*.png"))
	if len(pictures) != 6 {
		t.Errorf("%d pictures", len(pictures))
	}
	for _, p := range pictures {
		f, err := os.Open(p)
		if err != nil {
			t.Fatal(err)
		}
		if img, err := png.Decode(f); err != nil || img.Bounds().Dx() < 800 {
			t.Errorf("%s: %v", p, err)
		}
		f.Close()
	}
}
