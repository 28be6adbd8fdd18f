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

// logLevels maps the names of log functions to levels. The log function that packages take as an option is slog.Info.
var logLevels = map[string]string{
	"Debug": "debug", "Info": "info", "info": "info", "Log": "info", "log": "info", "Warn": "warn", "Error": "error",
}

// logMessage is a log message as the code or the documentation has it.
type logMessage struct {
	keys         map[string]bool
	hasOtherKeys bool // it also has keys that can't be read from the source of the call
}

// logMessages maps a level and a text, separated by a space, to the message.
type logMessages map[string]*logMessage

// add adds keys to a message, which it creates if needed.
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

// The table of log messages in docs/on-call.md has each message of the code with its level and keys, and no others.
func TestLogMessagesAreDocumented(t *testing.T) {
	documented := documentedMessages(t)
	logged := logMessages{}
	folders, err := filepath.Glob("../../internal/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, folder := range append(folders, ".") {
		addPackageMessages(t, folder, logged)
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
			if !message.keys[key] && !message.hasOtherKeys {
				t.Errorf("%s: the table has the key %s, but no log call does", name, key)
			}
		}
	}
	for name := range documented {
		if logged[name] == nil {
			t.Errorf("in the table, but not logged: %s", name)
		}
	}
}

// documentedMessages reads the section "Log messages" of docs/on-call.md.
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

// addPackageMessages adds the messages that the package in a folder logs.
func addPackageMessages(t *testing.T, folder string, messages logMessages) {
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
			addDeclarationMessages(t, file, declaration, messages)
		}
	}
}

// addDeclarationMessages adds the messages that a function or a table of functions logs. It skips calls that log a parameter of
// the function: those messages belong to the function's callers.
func addDeclarationMessages(t *testing.T, file *ast.File, declaration ast.Decl, messages logMessages) {
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
		texts := constantTexts(declaration, call.Args[0])
		if len(texts) == 0 {
			t.Errorf("package %s logs a message that is not constant", file.Name.Name)
		}
		for _, text := range texts {
			if call.Ellipsis.IsValid() {
				list := call.Args[len(call.Args)-1]
				messages.add(level, text, listKeys(declaration, list)).hasOtherKeys = true
				continue
			}
			messages.add(level, text, constantKeys(call.Args[1:]))
		}
		return true
	})
}

// calledName returns the name of the called function or method, or "" for a function of an imported package other than slog.
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

// isOtherPackage reports whether an expression is the name of an imported package other than slog.
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

// constantTexts returns the constant texts that an expression can have: its own value, or those assigned to the variable.
func constantTexts(declaration ast.Decl, expression ast.Expr) (texts []string) {
	for _, value := range append(assignedValues(declaration, expression), expression) {
		if text, ok := stringLiteral(value); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// assignedValues returns the expressions that a declaration assigns to a variable. Of an append to the variable itself it returns
// only the appended values.
func assignedValues(declaration ast.Decl, variable ast.Expr) (values []ast.Expr) {
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
			values = append(values, appendedValues(assignment.Rhs[0], name.Name))
		}
		return true
	})
	return values
}

// appendedValues returns the values that an append to a variable adds, as a composite literal, or else the expression itself.
func appendedValues(expression ast.Expr, variable string) ast.Expr {
	call, ok := expression.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return expression
	}
	if first, ok := call.Args[0].(*ast.Ident); !ok || first.Name != variable {
		return expression
	}
	return &ast.CompositeLit{Elts: call.Args[1:]}
}

// listKeys returns the literal keys of a list of keys and values. The list is a composite literal, a variable, or a call that
// adds its further arguments to the list in its first argument.
func listKeys(declaration ast.Decl, list ast.Expr) (keys []string) {
	if call, ok := list.(*ast.CallExpr); ok && len(call.Args) > 0 {
		return append(listKeys(declaration, call.Args[0]), constantKeys(call.Args[1:])...)
	}
	if composite, ok := list.(*ast.CompositeLit); ok {
		return constantKeys(composite.Elts)
	}
	for _, value := range assignedValues(declaration, list) {
		keys = append(keys, listKeys(declaration, value)...)
	}
	return keys
}

// constantKeys returns the literal keys of alternating keys and values.
func constantKeys(arguments []ast.Expr) (keys []string) {
	for i := 0; i < len(arguments); i += 2 {
		if key, ok := stringLiteral(arguments[i]); ok {
			keys = append(keys, key)
		}
	}
	return keys
}

// stringLiteral returns the value of a string literal.
func stringLiteral(expression ast.Expr) (value string, ok bool) {
	basic, ok := expression.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(basic.Value)
	return value, err == nil
}
