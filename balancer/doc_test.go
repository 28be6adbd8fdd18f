package balancer

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// declarations holds the names that the package declares outside its tests.
type declarations struct {
	functions map[string][]string // by file
	constants map[string][]string // by file
	fields    map[string]bool     // Type.field
}

func parseDeclarations(t *testing.T) declarations {
	t.Helper()
	d := declarations{functions: map[string][]string{}, constants: map[string][]string{}, fields: map[string]bool{}}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, decl := range file.Decls {
			d.add(name, decl)
		}
	}
	return d
}

func (d declarations) add(file string, decl ast.Decl) {
	switch decl := decl.(type) {
	case *ast.FuncDecl:
		d.functions[file] = append(d.functions[file], decl.Name.Name)
	case *ast.GenDecl:
		for _, spec := range decl.Specs {
			switch spec := spec.(type) {
			case *ast.ValueSpec:
				if decl.Tok == token.CONST {
					for _, name := range spec.Names {
						d.constants[file] = append(d.constants[file], name.Name)
					}
				}
			case *ast.TypeSpec:
				d.addFields(spec)
			}
		}
	}
}

func (d declarations) addFields(spec *ast.TypeSpec) {
	structure, ok := spec.Type.(*ast.StructType)
	if !ok {
		return
	}
	for _, field := range structure.Fields.List {
		for _, name := range field.Names {
			d.fields[spec.Name.Name+"."+name.Name] = true
		}
	}
}

// hasInput reports whether a name is a declared constant or field.
func (d declarations) hasInput(name string) bool {
	for _, constants := range d.constants {
		if slices.Contains(constants, name) {
			return true
		}
	}
	return d.fields[name]
}

// ruleTable returns the rows of the table in doc.go without the header.
func ruleTable(t *testing.T) [][]string {
	t.Helper()
	text, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	var rows [][]string
	for line := range strings.Lines(string(text)) {
		row, found := strings.CutPrefix(line, "//\t")
		if found {
			rows = append(rows, strings.Split(strings.TrimSpace(row), " | "))
		}
	}
	if len(rows) < 2 || strings.Join(rows[0], ",") != "rule,file,function,inputs (units),reason" {
		t.Fatalf("the table of rules has %d rows and begins with %v", len(rows), rows[:min(len(rows), 1)])
	}
	return rows[1:]
}

// Guards against a stale table of rules in doc.go: every file, function, constant and field that it names must exist, and
// every policy file and every constant of these files must have a row.
func TestDocTableNamesExist(t *testing.T) {
	declared := parseDeclarations(t)
	input := regexp.MustCompile(`^(\S+) \([^)]+\)$`)
	files, inputs := map[string]bool{}, map[string]bool{}
	for _, row := range ruleTable(t) {
		if len(row) != 5 || slices.Contains(row, "") {
			t.Errorf("row %q has %d columns, want 5", row, len(row))
			continue
		}
		file := row[1]
		files["balancer/"+file] = true
		for function := range strings.SplitSeq(row[2], ", ") {
			if !slices.Contains(declared.functions[file], function) {
				t.Errorf("%s: %s has no function %s", row[0], file, function)
			}
		}
		for text := range strings.SplitSeq(row[3], ", ") {
			name := input.FindStringSubmatch(text)
			if name == nil || !declared.hasInput(name[1]) {
				t.Errorf("%s: %q is not a constant or field with its unit", row[0], text)
				continue
			}
			inputs[name[1]] = true
		}
	}
	for _, file := range policyFiles(t) {
		if !files[file] {
			t.Errorf("policy file %s has no row", file)
		}
		for _, constant := range declared.constants[filepath.Base(file)] {
			if !inputs[constant] {
				t.Errorf("%s of %s is in no row", constant, file)
			}
		}
	}
}

// policyFiles returns the paths of the policy files from deploy/balancer.toml.
func policyFiles(t *testing.T) []string {
	t.Helper()
	var deployment struct {
		Policy []string `toml:"policy"`
	}
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := toml.Unmarshal(text, &deployment); err != nil {
		t.Fatal(err)
	}
	return deployment.Policy
}
