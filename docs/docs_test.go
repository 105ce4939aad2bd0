// Package docs_test checks the pages against the code: links, the sections that comments point at, and the names that
// the pages give.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const root = ".."

// files lists the files below the repository's root whose names end in a suffix, but for what git and the runs keep.
func files(t *testing.T, suffix string) []string {
	t.Helper()
	var out []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == ".git" || d.Name() == "journal" || d.Name() == "target") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, suffix) {
			out = append(out, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(out) == 0 {
		t.Fatalf("no files *%s", suffix)
	}
	return out
}

func read(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}

var headingLine = regexp.MustCompile(`(?m)^#+ (.*)$`)

// hasSection tells whether a page has a heading with a title, or a paragraph that begins with it.
func hasSection(t *testing.T, page, title string) bool {
	t.Helper()
	text := read(t, page)
	for _, m := range headingLine.FindAllStringSubmatch(text, -1) {
		if m[1] == title {
			return true
		}
	}
	return strings.Contains(text, "*"+title+".*") || strings.Contains(text, "*"+title+"*")
}

var link = regexp.MustCompile(`\]\(([^)\s#]+)[^)]*\)`)

func TestRelativeLinksResolve(t *testing.T) {
	for _, page := range files(t, ".md") {
		for _, m := range link.FindAllStringSubmatch(read(t, page), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			if target := filepath.Join(filepath.Dir(page), m[1]); !exists(target) {
				t.Errorf("%s: got a link to %s, want a file that exists", page, m[1])
			}
		}
	}
}

var spaces = regexp.MustCompile(`\s+`)

// sectionReference is a link to a page with the title of a section behind it, as pages name it.
var sectionReference = regexp.MustCompile(`\]\(([\w/.-]+\.md)\), "([^"]+)"`)

// Incidents stay as they were written, with the titles of their time.
func TestPagesNameSectionsThatExist(t *testing.T) {
	for _, page := range files(t, ".md") {
		if strings.Contains(page, "incidents") {
			continue
		}
		for _, m := range sectionReference.FindAllStringSubmatch(spaces.ReplaceAllString(read(t, page), " "), -1) {
			if target := filepath.Join(filepath.Dir(page), m[1]); !hasSection(t, target, m[2]) {
				t.Errorf("%s: got %s, %q, want a section that exists", page, m[1], m[2])
			}
		}
	}
}

// commentReference is a page of this folder in a comment, with the title of a section if one stands behind it.
var commentReference = regexp.MustCompile(`\b(docs/[\w/-]+\.md)(?:, "([^"]+)")?`)

func TestCommentsNamePagesAndSectionsThatExist(t *testing.T) {
	found := 0
	for _, path := range files(t, ".go") {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		for _, comment := range file.Comments {
			for _, m := range commentReference.FindAllStringSubmatch(spaces.ReplaceAllString(comment.Text(), " "), -1) {
				found++
				page := filepath.Join(root, m[1])
				if !exists(page) {
					t.Errorf("%s: got a comment that names %s, want a page that exists", path, m[1])
				} else if m[2] != "" && !hasSection(t, page, m[2]) {
					t.Errorf("%s: got a comment that names %s, %q, want a section that exists", path, m[1], m[2])
				}
			}
		}
	}
	if found < 40 {
		t.Errorf("got %d pages in comments, want the 40 and more that there were", found)
	}
}

// code is what the sources outside tests declare.
type code struct {
	names    map[string]bool // plain, and with package, type or both before them
	literals []string        // texts in the code: keys, paths, tags
}

func readCode(t *testing.T) code {
	t.Helper()
	c := code{names: map[string]bool{}}
	for _, path := range files(t, ".go") {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		c.addFile(file)
	}
	return c
}

func (c *code) addFile(file *ast.File) {
	pkg := file.Name.Name
	c.names[pkg] = true
	for _, d := range file.Decls {
		switch d := d.(type) {
		case *ast.FuncDecl:
			if d.Recv == nil {
				c.add(pkg, "", d.Name)
				continue
			}
			c.add(pkg, receiver(d.Recv.List[0].Type), d.Name)
		case *ast.GenDecl:
			for _, s := range d.Specs {
				c.addSpec(pkg, s)
			}
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
			if text, err := strconv.Unquote(l.Value); err == nil {
				c.literals = append(c.literals, text)
			}
		}
		return true
	})
}

func (c *code) addSpec(pkg string, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, n := range s.Names {
			c.add(pkg, "", n)
		}
	case *ast.TypeSpec:
		c.add(pkg, "", s.Name)
		ast.Inspect(s.Type, func(n ast.Node) bool {
			if f, ok := n.(*ast.Field); ok {
				for _, name := range f.Names {
					c.add(pkg, s.Name.Name, name)
				}
			}
			return true
		})
	}
}

func (c *code) add(pkg, owner string, name *ast.Ident) {
	names := []string{name.Name}
	if owner != "" {
		names = append(names, owner+"."+name.Name)
	}
	for _, n := range names {
		c.names[n], c.names[pkg+"."+n] = true, true
	}
}

// receiver is the name of a receiver's type.
func receiver(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.StarExpr:
		return receiver(e.X)
	case *ast.IndexExpr:
		return receiver(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

var identifier = regexp.MustCompile(`^[A-Za-z_]\w*(\.[A-Za-z_]\w*)*$`)

// has tells whether a name is in the code: a file or folder, an identifier, or a part of a text.
func (c *code) has(name string) bool {
	if exists(filepath.Join(root, name)) || c.names[name] {
		return true
	}
	if rest, ok := strings.CutPrefix(name, "go test "); ok {
		return exists(filepath.Join(root, strings.Fields(rest)[0]))
	}
	return !identifier.MatchString(name) && c.contains(name)
}

// isText tells whether a text of the code is this, or this and details behind a colon.
func (c *code) isText(name string) bool {
	for _, text := range c.literals {
		if text == name || strings.HasPrefix(text, name+":") {
			return true
		}
	}
	return false
}

// contains tells whether a text of the code contains a name.
func (c *code) contains(name string) bool {
	for _, text := range c.literals {
		if strings.Contains(text, name) {
			return true
		}
	}
	return false
}

var (
	codeSpan   = regexp.MustCompile("`([^`]+)`")
	dottedName = regexp.MustCompile(`\b[a-z]+\.[A-Z]\w*(?:\.\w+)*`)
)

// The names in the picture are those with a package.
func TestArchitecturePageNamesExistInTheCode(t *testing.T) {
	c := readCode(t)
	page := read(t, "architecture.md")
	found := 0
	for _, m := range codeSpan.FindAllStringSubmatch(page, -1) {
		found++
		if !c.has(m[1]) {
			t.Errorf("architecture.md: got `%s`, want a name that is in the code", m[1])
		}
	}
	for _, name := range dottedName.FindAllString(page, -1) {
		if !c.has(name) {
			t.Errorf("architecture.md: got %s, want a name that is in the code", name)
		}
	}
	if found < 100 {
		t.Errorf("architecture.md: got %d names, want the 100 and more that it had", found)
	}
}

var layerPackage = regexp.MustCompile("`internal/(\\w+)`")

// A package imports only what the table of layers has behind it: to its right, or in a lower row.
func TestPackagesImportOnlyLowerLayers(t *testing.T) {
	_, table, _ := strings.Cut(read(t, "architecture.md"), "## Packages by layer\n")
	table, _, _ = strings.Cut(table, "\n## ")
	place := map[string]int{}
	for i, m := range layerPackage.FindAllStringSubmatch(table, -1) {
		place[m[1]] = i + 1
	}
	for _, path := range files(t, ".go") {
		rest, ok := strings.CutPrefix(filepath.ToSlash(path), root+"/internal/")
		if own, _, _ := strings.Cut(rest, "/"); ok && own != "golden" && !strings.HasSuffix(path, "_test.go") {
			checkImports(t, path, own, place)
		}
	}
}

func checkImports(t *testing.T, path, own string, place map[string]int) {
	t.Helper()
	if place[own] == 0 {
		t.Errorf("%s: got package %s, want it in the table of layers", path, own)
	}
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range file.Imports {
		_, imported, ok := strings.Cut(strings.Trim(i.Path.Value, `"`), "glentiller/internal/")
		imported, _, _ = strings.Cut(imported, "/")
		if ok && imported != own && place[imported] <= place[own] {
			t.Errorf("%s: got an import of %s, want only packages behind %s in the table of layers", path, imported, own)
		}
	}
}

// The second column of the glossary's first table holds names of the code.
func TestGlossaryNamesExistInTheCode(t *testing.T) {
	c := readCode(t)
	_, table, ok := strings.Cut(read(t, "glossary.md"), "| --- | --- | --- |\n")
	if !ok {
		t.Fatal("the glossary has no table of three columns")
	}
	table, _, _ = strings.Cut(table, "\n\n")
	for _, row := range strings.Split(table, "\n") {
		columns := strings.Split(row, "|")
		if len(columns) != 5 {
			t.Errorf("glossary: got %d columns, want 3: %s", len(columns)-2, row)
			continue
		}
		for _, m := range codeSpan.FindAllStringSubmatch(columns[2], -1) {
			if !c.has(m[1]) {
				t.Errorf("glossary: got `%s`, want a name that is in the code", m[1])
			}
		}
	}
}

// Log messages and their attributes stand in the first column of the tables of messages.
func TestLogMessagesInPagesExistInTheCode(t *testing.T) {
	c := readCode(t)
	found := 0
	for _, page := range files(t, ".md") {
		for _, table := range strings.Split(read(t, page), "\n| message | meaning |\n")[1:] {
			table, _, _ = strings.Cut(table, "\n\n")
			for _, row := range strings.Split(table, "\n")[1:] {
				first, _, _ := strings.Cut(strings.TrimPrefix(row, "|"), "|")
				for _, m := range codeSpan.FindAllStringSubmatch(first, -1) {
					found++
					if name, _, _ := strings.Cut(m[1], "="); !c.isText(name) {
						t.Errorf("%s: got the log message or attribute `%s`, want one of the code", page, name)
					}
				}
			}
		}
	}
	if found < 60 {
		t.Errorf("got %d messages and attributes, want the 60 and more that there were", found)
	}
}

// protocolNames are those of the protocol that are no words of this field.
var protocolNames = []string{
	"baton", "foreman", "tiller", "tillers", "shift", "tick", "verb", "windDownS", "recallS", "loaners", "pulling",
	"gathering", "mates_gone", "markS", "storeS", "jobclass", "ensemble", "daemon", "breed", "breeds", "scatter",
	"expectS", "dueS", "withdrawn", "hire", "heldS", "startupS", "lowPrice", "stamp", "tenancy", "lifeMs",
}

// protocolFiles are where they may stand: the codecs, the state service's stand-in, and a command's flags that have
// the names of a submission's fields.
var protocolFiles = []string{
	"/internal/wire/", "/internal/fake/state_protocol.go", "/cmd/glentiller/constraints.go",
}

func TestProtocolNamesStayAtTheEdge(t *testing.T) {
	for _, path := range files(t, ".go") {
		if strings.HasSuffix(path, "_test.go") || slices.ContainsFunc(protocolFiles, func(edge string) bool {
			return strings.Contains(filepath.ToSlash(path), edge)
		}) {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		c := code{names: map[string]bool{}}
		c.addFile(file)
		for _, name := range protocolNames {
			if slices.Contains(c.literals, name) {
				t.Errorf("%s: got the protocol's name %q, want it at the edge alone", path, name)
			}
		}
	}
}

var (
	testName  = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark|Fuzz)\w+)`)
	shortPath = regexp.MustCompile(`^\w+/\w+\.go$`)
	fullPath  = regexp.MustCompile(`^(?:internal|cmd|deploy|docs|scripts|tools)/[\w/.-]+$`)
	longName  = regexp.MustCompile(`^(?:[A-Z]\w{7,}|\w+\.[A-Z]\w*(?:\.\w+)*)$`)
)

// Names of types, functions and tests in the other pages; tests may stand there without their Test.
func TestNamesInPagesExistInTheCode(t *testing.T) {
	c := readCode(t)
	for _, path := range files(t, "_test.go") {
		for _, m := range testName.FindAllStringSubmatch(read(t, path), -1) {
			c.names[m[1]], c.names[strings.TrimPrefix(m[1], "Test")] = true, true
		}
	}
	for _, page := range files(t, ".md") {
		if strings.Contains(page, "incidents") || strings.HasSuffix(page, "glossary.md") {
			continue
		}
		for _, m := range codeSpan.FindAllStringSubmatch(read(t, page), -1) {
			if longName.MatchString(m[1]) && !c.has(m[1]) && !c.contains(m[1]) {
				t.Errorf("%s: got `%s`, want a name that is in the code", page, m[1])
			}
			if fullPath.MatchString(m[1]) && !c.has(m[1]) {
				t.Errorf("%s: got `%s`, want a file or folder of the repository", page, m[1])
			}
			if shortPath.MatchString(m[1]) && !c.has(m[1]) && !exists(filepath.Join(root, "internal", m[1])) {
				t.Errorf("%s: got `%s`, want a file of the repository or below internal", page, m[1])
			}
		}
	}
}

// The former names of pages and programs are in the glossary and nowhere else, but for what stays as it was written.
func TestFormerNamesAreGoneFromPages(t *testing.T) {
	former := []string{
		"cmd/rehearse", "internal/rehearse", "internal/hearing", "internal/courier", "internal/word", "internal/sched`",
		"internal/fleet`", "internal/front", "internal/budget", "internal/level", "internal/node", "internal/control`",
		"troubles.md", "docs/rehearse.md",
	}
	for _, page := range files(t, ".md") {
		if strings.Contains(page, "incidents") || strings.HasSuffix(page, "glossary.md") {
			continue
		}
		text := read(t, page)
		for _, name := range former {
			if strings.Contains(text, name) {
				t.Errorf("%s: got the former name %s", page, name)
			}
		}
	}
}
