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

// The following texts in backquotes on a page count as names of this repository's code:
//
//   - a path below one of topFolders, a file name that ends in .go, .md or .toml, and the target of a link;
//   - a qualified name: `pkg.Name`, `Type.method`, `pkg.Type.field`. The dotted key of a setting counts too: each of its parts
//     has to be in a struct tag;
//   - one word in camelCase or PascalCase, and any word followed by ();
//   - each name in the forms `file.go`: `a`, `b` and `a`, `b` (`file.go`), which has to be declared in that file.
//
// Names of tests count without backquotes too, as do paths and the patterns of -run, -bench and -fuzz in commands. One word in
// lower case, a word with _ or -, and a word in capitals do not count: they are settings, metrics, management calls or commands.
var (
	topFolders     = []string{".ci", "balancer", "cmd", "deploy", "docs", "examples", "internal", "tools"}
	codeSpan       = regexp.MustCompile("`([^`]+)`")
	linkTarget     = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
	testName       = regexp.MustCompile(`\b(Test|Fuzz|Benchmark|Example)[A-Z]\w*`)
	runPattern     = regexp.MustCompile(`-(?:run|bench|fuzz)[ =]'?([\w|]+)`)
	fileName       = regexp.MustCompile(`^[\w.*-]+\.(go|md|toml)$`)
	qualifiedName  = regexp.MustCompile(`^[A-Za-z]\w*(\.[A-Za-z]\w*)+(\(\))?$`)
	mixedCase      = regexp.MustCompile(`^([a-z]+[A-Z]|[A-Z]\w*[a-z])[A-Za-z0-9]*$`)
	callForm       = regexp.MustCompile(`^\w+\(\)$`)
	outputFile     = regexp.MustCompile(`\.(html|json|png|state)$`)
	identifierPath = regexp.MustCompile(`^[A-Za-z][\w.]*$`)
	listSeparator  = regexp.MustCompile(`^(,| and|, and)?\s+$`)
)

// foreignNames has names on the pages that are not of this repository, each with the project that it belongs to. TestName
// stands for any test.
var foreignNames = map[string]string{
	"Picker":                "grpc-go",
	"Resolver":              "grpc-go",
	"SubConn":               "grpc-go",
	"ErrNoSubConnAvailable": "grpc-go",
	"FailDuration":          "Caddy",
	"TestName":              "any test",
}

// page is a Markdown page of the documentation.
type page struct {
	path       string
	text       string // without the code blocks, whose lines are empty
	codeBlocks string // only the code blocks; all other lines are empty
}

// mention is a text in backquotes on a page.
type mention struct {
	text       string
	start, end int // offsets in page.text, backquotes included
}

// readPages reads all pages of the documentation.
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
				p.codeBlocks += line
				p.text += "\n"
			} else {
				p.codeBlocks += "\n"
				p.text += line
			}
		}
		pages = append(pages, p)
	}
	return pages
}

// mentions returns all texts in backquotes. White space in them is reduced to single spaces.
func (p page) mentions() []mention {
	var mentions []mention
	for _, at := range codeSpan.FindAllStringSubmatchIndex(p.text, -1) {
		text := strings.Join(strings.Fields(p.text[at[2]:at[3]]), " ")
		mentions = append(mentions, mention{text: text, start: at[0], end: at[1]})
	}
	return mentions
}

// lineOf returns the number of the line that contains an offset of a text.
func lineOf(text string, offset int) int { return 1 + strings.Count(text[:offset], "\n") }

// codeIndex contains the names that the Go files of the repository declare and use, and the paths of all its files.
type codeIndex struct {
	names           map[string]bool            // Name, Type.member, and both qualified by their package
	inFile          map[string]map[string]bool // the same, by the path of the declaring file
	declarations    map[string][]string        // full names and files, by the last part of the name
	filesByBaseName map[string][]string        // paths of all files and folders, by base name
	testFunctions   []string                   // names of tests, benchmarks, fuzz tests and examples
	stringLiterals  bytes.Buffer               // all strings and struct tags outside test files
}

// indexTree indexes all files of the repository. The journal is left out.
func indexTree(t *testing.T) *codeIndex {
	t.Helper()
	index := &codeIndex{
		names:           map[string]bool{},
		inFile:          map[string]map[string]bool{},
		declarations:    map[string][]string{},
		filesByBaseName: map[string][]string{},
	}
	err := filepath.WalkDir(".", func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (file == ".git" || file == "journal") {
			return filepath.SkipDir
		}
		file = filepath.ToSlash(file)
		index.filesByBaseName[path.Base(file)] = append(index.filesByBaseName[path.Base(file)], file)
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

// addFile adds the declarations, the string literals and the names used from other modules of a Go file.
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
				index.stringLiterals.WriteString(node.Value + "\n")
			}
		}
		return true
	})
	return nil
}

// addDeclaration adds the names that a top-level declaration declares.
func (index *codeIndex) addDeclaration(file, pkg string, node ast.Decl) {
	switch declaration := node.(type) {
	case *ast.FuncDecl:
		name := declaration.Name.Name
		if declaration.Recv != nil {
			index.addMember(file, pkg, receiverType(declaration.Recv.List[0].Type), name)
			return
		}
		index.add(file, pkg, name)
		if strings.HasSuffix(file, "_test.go") && testName.MatchString(name) {
			index.testFunctions = append(index.testFunctions, name)
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

// addMember adds a field or method.
func (index *codeIndex) addMember(file, pkg, typeName, member string) {
	index.names[member] = true
	index.inFile[file][member] = true
	index.add(file, pkg, typeName+"."+member)
}

// add adds a declared name.
func (index *codeIndex) add(file, pkg, name string) {
	for _, form := range []string{name, pkg + "." + name} {
		index.names[form] = true
		index.inFile[file][form] = true
	}
	last := name[strings.LastIndex(name, ".")+1:]
	index.declarations[last] = append(index.declarations[last], fmt.Sprintf("%s.%s (%s)", pkg, name, file))
}

// receiverType returns the name of a receiver's type, or "" if it has none.
func receiverType(typeExpression ast.Expr) string {
	switch expression := typeExpression.(type) {
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

// findFiles returns the files that a path, which may contain wildcards, or a bare file name refers to.
func (index *codeIndex) findFiles(name string) []string {
	name = strings.TrimSuffix(strings.TrimPrefix(name, "./"), "/")
	if !strings.Contains(name, "/") {
		return index.filesByBaseName[name]
	}
	found, err := filepath.Glob(name)
	if err != nil {
		return nil
	}
	return found
}

// isPath reports whether a word has the form of a path in this repository.
func isPath(word string) bool {
	top, _, hasFolder := strings.Cut(strings.TrimPrefix(word, "./"), "/")
	return hasFolder && slices.Contains(topFolders, top) && !strings.ContainsAny(word, "<>{} ")
}

// checkName returns the problem of a name that a page mentions, or "" if there is none.
func (index *codeIndex) checkName(name string) string {
	bare := strings.TrimSuffix(name, "()")
	switch {
	case outputFile.MatchString(name), foreignNames[bare] != "": // a file that a program writes or reads, or a name of another project
	case isPath(name) || fileName.MatchString(name):
		if len(index.findFiles(strings.TrimSuffix(name, "/..."))) == 0 {
			return "no such file or folder"
		}
	case qualifiedName.MatchString(name) && !index.names[bare] && !index.isKey(bare),
		(mixedCase.MatchString(name) || callForm.MatchString(name)) && !index.names[bare]:
		return "not declared in the code" + index.hint(bare)
	}
	return ""
}

// isKey reports whether each part of a dotted name is the key of a struct tag.
func (index *codeIndex) isKey(name string) bool {
	for part := range strings.SplitSeq(name, ".") {
		if !bytes.Contains(index.stringLiterals.Bytes(), []byte(`:"`+part+`"`)) {
			return false
		}
	}
	return true
}

// checkInFile returns the problem of a name that, by a page, is declared in a file, or "" if there is none.
func (index *codeIndex) checkInFile(file, name string) string {
	for _, candidate := range index.findFiles(file) {
		if index.inFile[candidate][strings.TrimSuffix(name, "()")] {
			return ""
		}
	}
	return "not declared in " + file + index.hint(name)
}

// hint lists up to three places where the last part of a name is declared.
func (index *codeIndex) hint(name string) string {
	last := name[strings.LastIndex(name, ".")+1:]
	if places := index.declarations[last]; len(places) > 0 {
		return "; declared elsewhere: " + strings.Join(places[:min(len(places), 3)], ", ")
	}
	return ""
}

// checkPage returns a message on each mention of a page that refers to nothing in the repository.
func (index *codeIndex) checkPage(p page) []string {
	var problems []string
	report := func(text string, offset int, name, problem string) {
		message := fmt.Sprintf("%s:%d: `%s`: %s", p.path, lineOf(text, offset), name, problem)
		if problem != "" && !slices.Contains(problems, message) {
			problems = append(problems, message)
		}
	}
	mentions := p.mentions()
	for i, m := range mentions {
		report(p.text, m.start, m.text, index.checkName(m.text))
		if path.Ext(m.text) != ".go" {
			continue
		}
		for _, name := range namesOfMentionedFile(p.text, mentions, i) {
			report(p.text, name.start, name.text, index.checkInFile(m.text, name.text))
		}
	}
	for _, at := range linkTarget.FindAllStringSubmatchIndex(p.text, -1) {
		target := path.Join(path.Dir(p.path), p.text[at[2]:at[3]])
		if _, err := os.Stat(filepath.FromSlash(target)); err != nil {
			report(p.text, at[2], target, "the target of the link does not exist")
		}
	}
	for _, text := range []string{p.text, p.codeBlocks} {
		index.checkTestsAndPaths(text, report)
	}
	return problems
}

// namesOfMentionedFile returns the names that, by a page, are declared in the file of mention i: those that follow it after a
// colon, and those that precede it if it is in parentheses.
func namesOfMentionedFile(text string, mentions []mention, i int) []mention {
	var names []mention
	file := mentions[i]
	if strings.HasPrefix(text[file.end:], ": `") {
		for k := i + 1; k < len(mentions) && identifierPath.MatchString(mentions[k].text) && path.Ext(mentions[k].text) != ".go"; k++ {
			if k > i+1 && !listSeparator.MatchString(text[mentions[k-1].end:mentions[k].start]) {
				break
			}
			names = append(names, mentions[k])
		}
	}
	if strings.HasSuffix(text[:file.start], "(") && strings.HasPrefix(text[file.end:], ")") {
		next := file.start - 1
		for k := i - 1; k >= 0 && identifierPath.MatchString(mentions[k].text) && listSeparator.MatchString(text[mentions[k].end:next]); k-- {
			names = append(names, mentions[k])
			next = mentions[k].start
		}
	}
	return names
}

// checkTestsAndPaths checks the names of tests, the patterns of -run, -bench and -fuzz, and the paths in a text, in backquotes
// or not.
func (index *codeIndex) checkTestsAndPaths(text string, report func(text string, offset int, name, problem string)) {
	for _, at := range testName.FindAllStringIndex(text, -1) {
		if name := text[at[0]:at[1]]; !index.names[name] && foreignNames[name] == "" {
			report(text, at[0], name, "no such test")
		}
	}
	for _, at := range runPattern.FindAllStringSubmatchIndex(text, -1) {
		pattern := text[at[2]:at[3]]
		if !slices.ContainsFunc(index.testFunctions, regexp.MustCompile(pattern).MatchString) {
			report(text, at[2], pattern, "matches no test")
		}
	}
	offset := 0
	for line := range strings.Lines(text) {
		for word := range strings.FieldsSeq(line) {
			word, _, _ = strings.Cut(strings.TrimLeft(word, "`('\"|"), "`")
			word = strings.TrimRight(word, "),;:.'\"|")
			if isPath(word) {
				report(text, offset, word, index.checkName(word))
			}
		}
		offset += len(line)
	}
}

// Each path, file, function, type, method and test that a page mentions exists.
func TestDocsNameExistingCode(t *testing.T) {
	index := indexTree(t)
	for _, name := range slices.Sorted(maps.Keys(foreignNames)) {
		if index.names[name] {
			t.Errorf("docs_test.go: foreignNames has %s as a name of %s, but this repository declares it", name, foreignNames[name])
		}
	}
	for _, p := range readPages(t) {
		for _, problem := range index.checkPage(p) {
			t.Error(problem)
		}
	}
}

// Each package of allowedImports has a row in the table of packages in docs/ARCHITECTURE.md.
func TestArchitectureListsEachPackage(t *testing.T) {
	text, err := os.ReadFile("docs/ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	firstCells := regexp.MustCompile("(?m)^\\| (`[^|]*) \\|").FindAllString(string(text), -1)
	for _, pkg := range slices.Sorted(maps.Keys(allowedImports)) {
		if !strings.Contains(strings.Join(firstCells, "\n"), "`"+pkg+"`") {
			t.Errorf("docs/ARCHITECTURE.md: `%s` has no row in the table of packages", pkg)
		}
	}
}

// Each log message in the first column of a table is a string literal of the program, if the header of that column is "line".
// An ellipsis (…) stands for a part of the message that is left out.
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
					if !bytes.Contains(index.stringLiterals.Bytes(), []byte(strings.TrimSpace(part))) {
						t.Errorf("%s:%d: `%s`: not found in any string literal of the program", p.path, number, strings.TrimSpace(part))
					}
				}
			}
		}
	}
	if quoted == 0 {
		t.Error("no page has a table of log messages")
	}
}

// Each row of the table in docs/glossary.md has four cells with text: the word, the usual term of the field, identifiers, and a
// sentence. Identifiers are declared and qualified by their package; "-" means that the code has none. Words in backquotes are
// part of a string literal of the program.
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
			for _, problem := range index.checkGlossaryRow(cells) {
				t.Errorf("%s:%d: %s", p.path, number, problem)
			}
		}
	}
	if rows == 0 {
		t.Error("docs/glossary.md has no rows")
	}
}

// checkGlossaryRow returns the problems of a row of the glossary.
func (index *codeIndex) checkGlossaryRow(cells []string) []string {
	if len(cells) != 4 || slices.ContainsFunc(cells, func(cell string) bool { return strings.TrimSpace(cell) == "" }) {
		return []string{fmt.Sprintf("got cells %q, want four with text", cells)}
	}
	var problems []string
	for _, word := range codeSpan.FindAllStringSubmatch(cells[0], -1) {
		if !bytes.Contains(index.stringLiterals.Bytes(), []byte(word[1])) {
			problems = append(problems, fmt.Sprintf("`%s`: not found in any string literal of the program", word[1]))
		}
	}
	identifiers := codeSpan.FindAllStringSubmatch(cells[2], -1)
	if len(identifiers) == 0 && strings.TrimSpace(cells[2]) != "-" {
		problems = append(problems, fmt.Sprintf("got third cell %q, want identifiers in backquotes or -", cells[2]))
	}
	for _, identifier := range identifiers {
		if name := identifier[1]; !strings.Contains(name, ".") || !index.names[name] {
			problems = append(problems, fmt.Sprintf("`%s`: not a qualified name that the code declares%s", name, index.hint(name)))
		}
	}
	return problems
}
