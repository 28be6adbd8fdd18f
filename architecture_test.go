package balancer

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// imports is which packages of this module each may import, as docs/ARCHITECTURE.md has it. Tests may import more.
var imports = map[string][]string{
	"balancer":              {"internal/stats", "internal/leakybucket", "internal/ring"},
	"internal/leakybucket":  {},
	"internal/ring":         {},
	"internal/stats":        {},
	"internal/metrics":      {},
	"internal/management":   {"internal/timelimit"},
	"internal/wire":         {"balancer"},
	"internal/timelimit":    {},
	"internal/discovery":    {"balancer"},
	"internal/socket":       {},
	"internal/framing":      {"internal/socket"},
	"internal/savedstate":   {"balancer", "internal/discovery", "internal/durable"},
	"internal/proxy":        {"balancer", "internal/wire", "internal/metrics", "internal/discovery", "internal/savedstate", "internal/framing", "internal/socket", "internal/timelimit"},
	"internal/tomlfile":     {},
	"internal/durable":      {},
	"internal/fleet":        {"internal/tomlfile"},
	"internal/membership":   {},
	"cmd/balancer":          {"balancer", "internal/membership", "internal/proxy", "internal/management", "internal/fleet", "internal/durable", "internal/savedstate", "internal/timelimit"},
	"cmd/simadapter":        {"balancer", "internal/wire"},
	"internal/lab/scenario": {"internal/tomlfile"},
	"internal/lab/client":   {"internal/lab/scenario"},
	"internal/lab/server":   {"internal/lab/scenario"},
	"internal/lab/history":  {"internal/lab/scenario", "internal/lab/client"},
	"internal/lab/check":    {"internal/lab/scenario", "internal/lab/client", "internal/lab/history"},
	"internal/lab/measure":  {"internal/lab/scenario", "internal/lab/client", "internal/lab/history", "internal/lab/check"},
	"internal/lab/link":     {"internal/lab/scenario"},
	"internal/lab/live":     {"internal/lab/scenario", "internal/lab/client", "internal/lab/server", "internal/lab/history", "internal/lab/check", "internal/lab/link"},
	"internal/lab/model":    {"balancer", "internal/wire", "internal/lab/scenario", "internal/lab/client", "internal/lab/server", "internal/lab/history", "internal/lab/check"},
	"internal/lab/program":  {},
	"internal/lab/faulty":   {},
	"internal/lab/labtest":  {"internal/lab/scenario"},
	"internal/lab":          {"internal/lab/scenario", "internal/lab/check", "internal/lab/history", "internal/lab/live", "internal/lab/measure", "internal/lab/model"},
	"internal/lab/compare":  {"internal/lab/measure"},
	"internal/lab/report":   {"internal/lab", "internal/lab/scenario", "internal/lab/check", "internal/lab/history", "internal/lab/measure"},
	"internal/lab/crash":    {"internal/durable"},
	"internal/lab/gossip":   {},
	"internal/lab/explore":  {},
	"internal/lab/leases":   {"internal/membership", "internal/lab/explore"},
	"cmd/balancerctl":       {"internal/lab/explore", "internal/lab/leases", "internal/membership", "internal/durable", "internal/lab/crash", "internal/lab", "internal/lab/scenario", "internal/lab/check", "internal/lab/compare", "internal/lab/live", "internal/lab/measure", "internal/lab/model", "internal/lab/program", "internal/lab/report"},
}

// Every package imports only what the map of packages allows, and the decision module neither clocks, sockets nor files.
func TestImportRules(t *testing.T) {
	impure := []string{"net", "os", "io/fs", "syscall", "net/http", "os/exec", "sync"}
	seen := map[string]bool{}
	err := filepath.WalkDir(".", func(file string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go") {
			return err
		}
		pkg := path.Dir(filepath.ToSlash(file))
		allowed, known := imports[pkg]
		if seen[pkg] = true; !known {
			t.Errorf("%s is not on the map of packages", pkg)
			return nil
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range parsed.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			if pkg == "balancer" && slices.Contains(impure, name) {
				t.Errorf("%s: the decision module imports %s", file, name)
			}
			own, ok := strings.CutPrefix(name, "sprucehill")
			if own = strings.TrimPrefix(own, "/"); ok && !slices.Contains(allowed, own) {
				t.Errorf("%s may not import %q", file, name)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for pkg := range imports {
		if !seen[pkg] {
			t.Errorf("%q stands on the map, but there is no such package", pkg)
		}
	}
}
