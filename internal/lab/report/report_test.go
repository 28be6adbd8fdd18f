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

// The report is one HTML file without external resources. It has every plot with labelled axes, the timetable, and the events
// of the worst requests. The plots are also written as PNG files that decode.
func TestReportIsComplete(t *testing.T) {
	r, err := lab.RunModel(context.Background(), labtest.LoadExample(t, "zone-fire.toml"), model.Options{})
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
	for _, reference := range regexp.MustCompile(`(src|href)="[^"#]*"|url\([^)]*\)|@import`).FindAllString(page, -1) {
		t.Errorf("reference to an external resource: %s", reference)
	}
	for _, part := range []string{"time in the run, s", "milliseconds", "attempts per second", "percent of attempts", "share of the offered worth",
		"dc-b-u1 dc-b-u2 dc-b-u3 and 3 more", "buy-ticket from dc-b", "SIGKILL; started again", "no violations"} {
		if !strings.Contains(page, part) {
			t.Errorf("the report lacks %q", part)
		}
	}
	if n := strings.Count(page, "<svg"); n != 6 {
		t.Errorf("report has %d plots, want 6", n)
	}
	pictures, _ := filepath.Glob(filepath.Join(dir, "*.png"))
	if len(pictures) != 6 {
		t.Errorf("found %d PNG files, want 6", len(pictures))
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
