package balancer

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// What a page names in backquotes counts as code of this repository if it is one of these:
//
//   - a path below one of topFolders, a file name that ends in .go, .md or .toml, or the target of a link;
//   - a name with dots: `pkg.Name`, `Type.method`, `pkg.Type.field`. A dotted key of a configuration has to stand in a struct tag;
//   - one word in camelCase or PascalCase, or any word with () behind it;
//   - each word in the forms `file.go`: `a`, `b` and `a`, `b` (`file.go`), which has to be declared in that file.
//
// Without backquotes too, the name of a test counts, and so do paths and -run patterns in commands. One lower-case word, a word
// with _ or - and a word in capitals are settings, metrics, calls or commands, and no names of code.
var (
	topFolders   = []string{".ci", "balancer", "cmd", "deploy", "docs", "examples", "internal", "tools"}
	codeSpan     = regexp.MustCompile("`([^`]+)`")
	link         = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
	testName     = regexp.MustCompile(`\b(Test|Fuzz|Benchmark|Example)[A-Z]\w*`)
	runPattern   = regexp.MustCompile(`-(?:run|bench|fuzz)[ =]'?([\w|]+)`)
	fileName     = regexp.MustCompile(`^[\w.*-]+\.(go|md|toml)$`)
	dottedName   = regexp.MustCompile(`^[A-Za-z]\w*(\.[A-Za-z]\w*)+(\(\))?$`)
	mixedCase    = regexp.MustCompile(`^([a-z]+[A-Z]|[A-Z]\w*[a-z])[A-Za-z0-9]*$`)
	call         = regexp.MustCompile(`^\w+\(\)$`)
	outputFile   = regexp.MustCompile(`\.(html|json|png|state)$`)
	anyName      = regexp.MustCompile(`^[A-Za-z][\w.]*$`)
	betweenNames = regexp.MustCompile(`^(,| and|, and)?\s+$`)
)

// namesOfOthers are names on the pages that belong to another project, or stand for any name.
var namesOfOthers = map[string]string{
	"Picker":                "grpc-go",
	"Resolver":              "grpc-go",
	"SubConn":               "grpc-go",
	"ErrNoSubConnAvailable": "grpc-go",
	"FailDuration":          "Caddy",
	"TestName":              "any test",
}

// page is a Markdown file.
type page struct {
	path string
	text string // with the lines of code blocks emptied
	code string // the code blocks
}

// mention is a backquoted text of a page.
type mention struct {
	text       string
	start, end int // in the page's text, backquotes included
}

func readPages(t *testing.T) []page {
	t.Helper()
	paths := []string{"README.md", "DEVELOPERS.md"}
	for _, pattern := range []string{"docs/*.md", "docs/*/*.md"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		paths = append(paths, found...)
	}
	var pages []page
	for _, file := range paths {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		p := page{path: filepath.ToSlash(file)}
		for line := range strings.Lines(string(text)) {
			if strings.HasPrefix(line, "    ") {
				p.code += line
				p.text += "\n"
			} else {
				p.code += "\n"
				p.text += line
			}
		}
		pages = append(pages, p)
	}
	return pages
}

func (p page) mentions() []mention {
	var mentions []mention
	for _, at := range codeSpan.FindAllStringSubmatchIndex(p.text, -1) {
		text := strings.Join(strings.Fields(p.text[at[2]:at[3]]), " ")
		mentions = append(mentions, mention{text: text, start: at[0], end: at[1]})
	}
	return mentions
}

// lineOf returns the number of the line that an offset of the page's text or code is in.
func lineOf(text string, offset int) int { return 1 + strings.Count(text[:offset], "\n") }

// codeIndex is what the Go files of the tree declare and use.
type codeIndex struct {
	names    map[string]bool            // Name, Type.member, and both with the package before them
	inFile   map[string]map[string]bool // the same by the path of a file
	places   map[string][]string        // where the last part of a name is declared
	bases    map[string][]string        // paths by the base name of all files
	tests    []string                   // functions of test files that go test runs
	literals bytes.Buffer               // all strings and struct tags, tests aside
}

func indexTree(t *testing.T) *codeIndex {
	t.Helper()
	index := &codeIndex{
		names:  map[string]bool{},
		inFile: map[string]map[string]bool{},
		places: map[string][]string{},
		bases:  map[string][]string{},
	}
	err := filepath.WalkDir(".", func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (file == ".git" || file == "journal") {
			return filepath.SkipDir
		}
		file = filepath.ToSlash(file)
		index.bases[path.Base(file)] = append(index.bases[path.Base(file)], file)
		if entry.IsDir() || path.Ext(file) != ".go" {
			return nil
		}
		return index.addFile(file)
	})
	if err != nil {
		t.Fatal(err)
	}
	return index
}

func (index *codeIndex) addFile(file string) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	pkg := strings.TrimSuffix(parsed.Name.Name, "_test")
	if pkg == "main" {
		pkg = path.Base(path.Dir(file))
	}
	index.inFile[file] = map[string]bool{}
	for _, declaration := range parsed.Decls {
		index.addDeclaration(file, pkg, declaration)
	}
	imported := map[string]bool{}
	for _, spec := range parsed.Imports {
		if spec.Name != nil {
			imported[spec.Name.Name] = true
		} else if name, err := strconv.Unquote(spec.Path.Value); err == nil && !strings.HasPrefix(name, "sprucehill") {
			imported[path.Base(name)] = true
		}
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.SelectorExpr: // a name of another module
			if x, ok := node.X.(*ast.Ident); ok && imported[x.Name] {
				index.names[x.Name+"."+node.Sel.Name] = true
			}
		case *ast.BasicLit:
			if node.Kind == token.STRING && !strings.HasSuffix(file, "_test.go") {
				index.literals.WriteString(node.Value + "\n")
			}
		}
		return true
	})
	return nil
}

func (index *codeIndex) addDeclaration(file, pkg string, declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		name := declaration.Name.Name
		if declaration.Recv != nil {
			index.addMember(file, pkg, receiverType(declaration.Recv.List[0].Type), name)
			return
		}
		index.add(file, pkg, name)
		if strings.HasSuffix(file, "_test.go") && testName.MatchString(name) {
			index.tests = append(index.tests, name)
		}
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			switch spec := spec.(type) {
			case *ast.ValueSpec:
				for _, name := range spec.Names {
					index.add(file, pkg, name.Name)
				}
			case *ast.TypeSpec:
				index.add(file, pkg, spec.Name.Name)
				index.addFields(file, pkg, spec)
			}
		}
	}
}

// addFields adds the fields of a struct type and the methods of an interface type.
func (index *codeIndex) addFields(file, pkg string, spec *ast.TypeSpec) {
	ast.Inspect(spec.Type, func(node ast.Node) bool {
		fields, ok := node.(*ast.FieldList)
		if !ok {
			_, isFunction := node.(*ast.FuncType)
			return !isFunction
		}
		for _, field := range fields.List {
			for _, name := range field.Names {
				index.addMember(file, pkg, spec.Name.Name, name.Name)
			}
		}
		return true
	})
}

func (index *codeIndex) addMember(file, pkg, typeName, member string) {
	index.names[member] = true
	index.inFile[file][member] = true
	index.add(file, pkg, typeName+"."+member)
}

func (index *codeIndex) add(file, pkg, name string) {
	for _, form := range []string{name, pkg + "." + name} {
		index.names[form] = true
		index.inFile[file][form] = true
	}
	last := name[strings.LastIndex(name, ".")+1:]
	index.places[last] = append(index.places[last], fmt.Sprintf("%s.%s (%s)", pkg, name, file))
}

func receiverType(expression ast.Expr) string {
	switch expression := expression.(type) {
	case *ast.StarExpr:
		return receiverType(expression.X)
	case *ast.IndexExpr:
		return receiverType(expression.X)
	case *ast.IndexListExpr:
		return receiverType(expression.X)
	case *ast.Ident:
		return expression.Name
	}
	return ""
}

// findFiles returns the paths that a path or a bare file name stands for.
func (index *codeIndex) findFiles(name string) []string {
	name = strings.TrimSuffix(strings.TrimPrefix(name, "./"), "/")
	if !strings.Contains(name, "/") {
		return index.bases[name]
	}
	found, err := filepath.Glob(name)
	if err != nil {
		return nil
	}
	return found
}

// isPath reports whether a word is a path of this repository.
func isPath(word string) bool {
	top, _, hasFolder := strings.Cut(strings.TrimPrefix(word, "./"), "/")
	return hasFolder && slices.Contains(topFolders, top) && !strings.ContainsAny(word, "<>{} ")
}

// check returns what is wrong with a name that a page mentions, or nothing.
func (index *codeIndex) check(name string) string {
	bare := strings.TrimSuffix(name, "()")
	switch {
	case outputFile.MatchString(name), namesOfOthers[bare] != "": // a program writes or reads it, or it is no name of this tree
	case isPath(name) || fileName.MatchString(name):
		if len(index.findFiles(strings.TrimSuffix(name, "/..."))) == 0 {
			return "no such file or folder"
		}
	case dottedName.MatchString(name) && !index.names[bare] && !index.isKey(bare),
		(mixedCase.MatchString(name) || call.MatchString(name)) && !index.names[bare]:
		return "no such name in the code" + index.hint(bare)
	}
	return ""
}

// isKey reports whether each part of a dotted name is a key in a struct tag.
func (index *codeIndex) isKey(name string) bool {
	for part := range strings.SplitSeq(name, ".") {
		if !bytes.Contains(index.literals.Bytes(), []byte(`:"`+part+`"`)) {
			return false
		}
	}
	return true
}

// checkInFile returns what is wrong with a name that a page says to stand in a file, or nothing.
func (index *codeIndex) checkInFile(file, name string) string {
	for _, candidate := range index.findFiles(file) {
		if index.inFile[candidate][strings.TrimSuffix(name, "()")] {
			return ""
		}
	}
	return "not declared in " + file + index.hint(name)
}

// hint says where else the last part of a name is declared.
func (index *codeIndex) hint(name string) string {
	last := name[strings.LastIndex(name, ".")+1:]
	if places := index.places[last]; len(places) > 0 {
		return "; the tree has " + strings.Join(places[:min(len(places), 3)], ", ")
	}
	return ""
}

// checkPage returns each wrong mention of a page, with its line.
func (index *codeIndex) checkPage(p page) []string {
	var wrong []string
	report := func(text string, offset int, name, problem string) {
		message := fmt.Sprintf("%s:%d: `%s`: %s", p.path, lineOf(text, offset), name, problem)
		if problem != "" && !slices.Contains(wrong, message) {
			wrong = append(wrong, message)
		}
	}
	mentions := p.mentions()
	for i, m := range mentions {
		report(p.text, m.start, m.text, index.check(m.text))
		if path.Ext(m.text) != ".go" {
			continue
		}
		for _, name := range namesOfFile(p.text, mentions, i) {
			report(p.text, name.start, name.text, index.checkInFile(m.text, name.text))
		}
	}
	for _, at := range link.FindAllStringSubmatchIndex(p.text, -1) {
		target := path.Join(path.Dir(p.path), p.text[at[2]:at[3]])
		if _, err := os.Stat(filepath.FromSlash(target)); err != nil {
			report(p.text, at[2], target, "link to no file")
		}
	}
	for _, text := range []string{p.text, p.code} {
		index.checkTests(text, report)
	}
	return wrong
}

// namesOfFile returns the names that a page says to be in the file that mention i names: those behind a colon after it, or before
// it where it stands in parentheses.
func namesOfFile(text string, mentions []mention, i int) []mention {
	var names []mention
	file := mentions[i]
	if strings.HasPrefix(text[file.end:], ": `") {
		for k := i + 1; k < len(mentions) && anyName.MatchString(mentions[k].text) && path.Ext(mentions[k].text) != ".go"; k++ {
			if k > i+1 && !betweenNames.MatchString(text[mentions[k-1].end:mentions[k].start]) {
				break
			}
			names = append(names, mentions[k])
		}
	}
	if strings.HasSuffix(text[:file.start], "(") && strings.HasPrefix(text[file.end:], ")") {
		next := file.start - 1
		for k := i - 1; k >= 0 && anyName.MatchString(mentions[k].text) && betweenNames.MatchString(text[mentions[k].end:next]); k-- {
			names = append(names, mentions[k])
			next = mentions[k].start
		}
	}
	return names
}

// checkTests checks the names of tests, -run patterns and paths in a text, backquoted or not.
func (index *codeIndex) checkTests(text string, report func(text string, offset int, name, problem string)) {
	for _, at := range testName.FindAllStringIndex(text, -1) {
		if name := text[at[0]:at[1]]; !index.names[name] && namesOfOthers[name] == "" {
			report(text, at[0], name, "no such test")
		}
	}
	for _, at := range runPattern.FindAllStringSubmatchIndex(text, -1) {
		pattern := text[at[2]:at[3]]
		if !slices.ContainsFunc(index.tests, regexp.MustCompile(pattern).MatchString) {
			report(text, at[2], pattern, "matches no test")
		}
	}
	offset := 0
	for line := range strings.Lines(text) {
		for word := range strings.FieldsSeq(line) {
			word, _, _ = strings.Cut(strings.TrimLeft(word, "`('\"|"), "`")
			word = strings.TrimRight(word, "),;:.'\"|")
			if isPath(word) {
				report(text, offset, word, index.check(word))
			}
		}
		offset += len(line)
	}
}

// Every path, file, function, type, method and test that a page names exists.
func TestDocsNameExistingCode(t *testing.T) {
	index := indexTree(t)
	for _, name := range slices.Sorted(maps.Keys(namesOfOthers)) {
		if index.names[name] {
			t.Errorf("docs_test.go: %s is a name of this tree now: take it off the names of %s", name, namesOfOthers[name])
		}
	}
	for _, p := range readPages(t) {
		for _, wrong := range index.checkPage(p) {
			t.Error(wrong)
		}
	}
}

// Each package has a row in the table of packages.
func TestArchitectureListsEachPackage(t *testing.T) {
	text, err := os.ReadFile("docs/ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	firstCells := regexp.MustCompile("(?m)^\\| (`[^|]*) \\|").FindAllString(string(text), -1)
	for _, pkg := range slices.Sorted(maps.Keys(imports)) {
		if !strings.Contains(strings.Join(firstCells, "\n"), "`"+pkg+"`") {
			t.Errorf("docs/ARCHITECTURE.md: `%s` has no row in the table of packages", pkg)
		}
	}
}

// Each log message in a table whose first column is named "line" is a string of the program; … stands for what is left out.
func TestDocsQuoteLogMessages(t *testing.T) {
	index := indexTree(t)
	quoted := 0
	for _, p := range readPages(t) {
		number, isLogTable := 0, false
		for line := range strings.Lines(p.text) {
			number++
			first, _, isRow := strings.Cut(strings.TrimPrefix(line, "| "), " |")
			isLogTable = isRow && (isLogTable || first == "line")
			if !isLogTable {
				continue
			}
			for _, message := range codeSpan.FindAllStringSubmatch(first, -1) {
				quoted++
				for part := range strings.SplitSeq(message[1], "…") {
					if !bytes.Contains(index.literals.Bytes(), []byte(strings.TrimSpace(part))) {
						t.Errorf("%s:%d: `%s`: no string of the program has it", p.path, number, strings.TrimSpace(part))
					}
				}
			}
		}
	}
	if quoted == 0 {
		t.Error("no page has a table of log messages")
	}
}

// Each row of the glossary has four cells: the word, the field's term, identifiers, a sentence. Identifiers are qualified by their
// package, or "-" stands where the code has none; words in backquotes are strings of the program.
func TestGlossaryIdentifiersExist(t *testing.T) {
	index := indexTree(t)
	rows := 0
	for _, p := range readPages(t) {
		if p.path != "docs/glossary.md" {
			continue
		}
		number := 0
		for line := range strings.Lines(p.text) {
			number++
			cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
			if !strings.HasPrefix(line, "|") || strings.HasPrefix(line, "| ---") || strings.TrimSpace(cells[0]) == "word" {
				continue
			}
			rows++
			for _, wrong := range index.checkGlossaryRow(cells) {
				t.Errorf("%s:%d: %s", p.path, number, wrong)
			}
		}
	}
	if rows == 0 {
		t.Error("docs/glossary.md has no rows")
	}
}

func (index *codeIndex) checkGlossaryRow(cells []string) []string {
	if len(cells) != 4 || slices.ContainsFunc(cells, func(cell string) bool { return strings.TrimSpace(cell) == "" }) {
		return []string{fmt.Sprintf("want four cells with text, have %q", cells)}
	}
	var wrong []string
	for _, word := range codeSpan.FindAllStringSubmatch(cells[0], -1) {
		if !bytes.Contains(index.literals.Bytes(), []byte(word[1])) {
			wrong = append(wrong, fmt.Sprintf("`%s`: no string of the program has it", word[1]))
		}
	}
	identifiers := codeSpan.FindAllStringSubmatch(cells[2], -1)
	if len(identifiers) == 0 && strings.TrimSpace(cells[2]) != "-" {
		wrong = append(wrong, fmt.Sprintf("the third cell names no identifier: %q", cells[2]))
	}
	for _, identifier := range identifiers {
		if name := identifier[1]; !strings.Contains(name, ".") || !index.names[name] {
			wrong = append(wrong, fmt.Sprintf("`%s`: no such qualified name in the code%s", name, index.hint(name)))
		}
	}
	return wrong
}
