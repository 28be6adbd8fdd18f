package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// logLevels has the level of each function by whose name a package logs. Packages that get a log function get slog.Info.
var logLevels = map[string]string{
	"Debug": "debug", "Info": "info", "info": "info", "Log": "info", "log": "info", "Warn": "warn", "Error": "error",
}

// logMessage is a message as the code or the page has it.
type logMessage struct {
	keys     map[string]bool
	moreKeys bool // it has keys that can't be read off the call
}

// logMessages maps level and text, separated by a blank, to messages.
type logMessages map[string]*logMessage

// add adds keys to a message, and the message if it is new.
func (m logMessages) add(level, text string, keys []string) *logMessage {
	name := level + " " + text
	if m[name] == nil {
		m[name] = &logMessage{keys: map[string]bool{}}
	}
	for _, key := range keys {
		m[name].keys[key] = true
	}
	return m[name]
}

// The table of log messages on the page for on-call staff has each message of the code with its level and keys, and no other.
func TestLogMessagesAreDocumented(t *testing.T) {
	documented := documentedMessages(t)
	logged := logMessages{}
	folders, err := filepath.Glob("../../internal/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, folder := range append(folders, ".") {
		addMessagesOf(t, folder, logged)
	}
	for name, message := range logged {
		row := documented[name]
		if row == nil {
			t.Errorf("not in the table: %s, keys %v", name, slices.Sorted(maps.Keys(message.keys)))
			continue
		}
		for key := range message.keys {
			if !row.keys[key] {
				t.Errorf("%s: the table lacks the key %s", name, key)
			}
		}
		for key := range row.keys {
			if !message.keys[key] && !message.moreKeys {
				t.Errorf("%s: no line has the key %s", name, key)
			}
		}
	}
	for name := range documented {
		if logged[name] == nil {
			t.Errorf("in the table, but not logged: %s", name)
		}
	}
}

// documentedMessages reads the section "Log messages" of the page for on-call staff.
func documentedMessages(t *testing.T) logMessages {
	t.Helper()
	page, err := os.ReadFile("../../docs/on-call.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(page), "\n## Log messages\n")
	section, _, _ = strings.Cut(section, "\n## ")
	messages := logMessages{}
	quoted := regexp.MustCompile("`([^`]+)`")
	row := regexp.MustCompile("(?m)^\\| (debug|info|warn|error) \\| `([^`]+)` \\| ([^|]*) \\|")
	for _, columns := range row.FindAllStringSubmatch(section, -1) {
		var keys []string
		for _, key := range quoted.FindAllStringSubmatch(columns[3], -1) {
			keys = append(keys, key[1])
		}
		if messages[columns[1]+" "+columns[2]] != nil {
			t.Errorf("twice in the table: %s %s", columns[1], columns[2])
		}
		messages.add(columns[1], columns[2], keys)
	}
	return messages
}

// addMessagesOf adds the messages that a package's files log.
func addMessagesOf(t *testing.T, folder string, messages logMessages) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, declaration := range file.Decls {
			addMessagesOfDeclaration(t, file, declaration, messages)
		}
	}
}

// addMessagesOfDeclaration adds the messages that a function or a table of functions logs. A function that passes on its own
// parameter logs for its callers.
func addMessagesOfDeclaration(t *testing.T, file *ast.File, declaration ast.Decl, messages logMessages) {
	t.Helper()
	ast.Inspect(declaration, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		level, ok := logLevels[calledName(file, call)]
		if !ok || isParameter(declaration, call.Args[0]) {
			return true
		}
		texts := textsOf(declaration, call.Args[0])
		if len(texts) == 0 {
			t.Errorf("%s: a text that is not constant is logged", file.Name.Name)
		}
		for _, text := range texts {
			if call.Ellipsis.IsValid() {
				list := call.Args[len(call.Args)-1]
				messages.add(level, text, keysOfList(declaration, list)).moreKeys = true
				continue
			}
			messages.add(level, text, keysOf(call.Args[1:]))
		}
		return true
	})
}

// calledName is the name of the function or method that a call calls, or empty for a function of another package than slog.
func calledName(file *ast.File, call *ast.CallExpr) string {
	if called, ok := call.Fun.(*ast.Ident); ok {
		return called.Name
	}
	called, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || isOtherPackage(file, called.X) {
		return ""
	}
	return called.Sel.Name
}

// isOtherPackage reports whether an expression is the name of a package that a file imports, other than slog.
func isOtherPackage(file *ast.File, expression ast.Expr) bool {
	name, ok := expression.(*ast.Ident)
	return ok && name.Name != "slog" && slices.ContainsFunc(file.Imports, func(spec *ast.ImportSpec) bool {
		return strings.HasSuffix(strings.Trim(spec.Path.Value, `"`), "/"+name.Name) || spec.Path.Value == strconv.Quote(name.Name)
	})
}

// isParameter reports whether an expression is a parameter of the declared function.
func isParameter(declaration ast.Decl, expression ast.Expr) bool {
	function, isFunction := declaration.(*ast.FuncDecl)
	name, isName := expression.(*ast.Ident)
	return isFunction && isName && slices.ContainsFunc(function.Type.Params.List, func(field *ast.Field) bool {
		return slices.ContainsFunc(field.Names, func(parameter *ast.Ident) bool { return parameter.Name == name.Name })
	})
}

// textsOf returns the constant texts that an expression may be: itself, or what is assigned to the variable.
func textsOf(declaration ast.Decl, expression ast.Expr) (texts []string) {
	for _, value := range append(assignedTo(declaration, expression), expression) {
		if text, ok := literal(value); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// assignedTo returns the values that a declaration assigns to a variable, except those that begin with the variable itself.
func assignedTo(declaration ast.Decl, variable ast.Expr) (values []ast.Expr) {
	name, ok := variable.(*ast.Ident)
	if !ok {
		return nil
	}
	ast.Inspect(declaration, func(node ast.Node) bool {
		assignment, ok := node.(*ast.AssignStmt)
		if !ok || len(assignment.Lhs) != 1 {
			return true
		}
		if assigned, ok := assignment.Lhs[0].(*ast.Ident); ok && assigned.Name == name.Name {
			values = append(values, withoutAppend(assignment.Rhs[0], name.Name))
		}
		return true
	})
	return values
}

// withoutAppend returns what an append to a variable adds to it, or else the expression itself.
func withoutAppend(expression ast.Expr, variable string) ast.Expr {
	call, ok := expression.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return expression
	}
	if first, ok := call.Args[0].(*ast.Ident); !ok || first.Name != variable {
		return expression
	}
	return &ast.CompositeLit{Elts: call.Args[1:]}
}

// keysOfList returns the literal keys of a list of keys and values: what is assigned to the variable, and what a function adds
// behind its first argument.
func keysOfList(declaration ast.Decl, list ast.Expr) (keys []string) {
	if call, ok := list.(*ast.CallExpr); ok && len(call.Args) > 0 {
		return append(keysOfList(declaration, call.Args[0]), keysOf(call.Args[1:])...)
	}
	if composite, ok := list.(*ast.CompositeLit); ok {
		return keysOf(composite.Elts)
	}
	for _, value := range assignedTo(declaration, list) {
		keys = append(keys, keysOfList(declaration, value)...)
	}
	return keys
}

// keysOf returns the keys among the arguments behind a message: each first of two.
func keysOf(arguments []ast.Expr) (keys []string) {
	for i := 0; i < len(arguments); i += 2 {
		if key, ok := literal(arguments[i]); ok {
			keys = append(keys, key)
		}
	}
	return keys
}

// literal returns the value of a literal string.
func literal(expression ast.Expr) (value string, ok bool) {
	basic, ok := expression.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(basic.Value)
	return value, err == nil
}
