package constraint

import (
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The types below are the syntax of a text of rules. The parser builds its error messages from the names of these types
// and fields, so renaming one changes what users read.

// file is a text.
type file struct {
	Clauses []*clause `parser:"Sep* ( @@ ( Sep+ @@ )* Sep* )?"`
}

// clause is one requirement or preference: an affinity, a limit on tasks, or an expression on machines.
type clause struct {
	Pos    lexer.Position
	Hard   bool     `parser:"( @'require'"`
	Wish   bool     `parser:"| @'prefer'"`
	Weight *float64 `parser:"@Number )"`
	Same   string   `parser:"( 'same' 'zone' 'as' @Ident"`
	Apart  string   `parser:"| 'apart' 'from' @Ident"`
	By     string   `parser:"  ( 'by' @( 'zone' | 'machine' ) )?"`
	Most   *float64 `parser:"| 'at' 'most' @Number"`
	Per    string   `parser:"  'per' @( 'zone' | 'machine' )"`
	Expr   *either  `parser:"| @@ )"`
	EndPos lexer.Position
}

// either is a disjunction.
type either struct {
	Any []*both `parser:"@@ ( 'or' @@ )*"`
}

// both is a conjunction.
type both struct {
	All []*term `parser:"@@ ( 'and' @@ )*"`
}

// term is a negation, a group in brackets, a keyword or a comparison.
type term struct {
	Not     *term    `parser:"  'not' @@"`
	Group   *either  `parser:"| '(' @@ ')'"`
	Spot    bool     `parser:"| @'spot'"`
	Image   bool     `parser:"| @( 'image' 'present' )"`
	Compare *compare `parser:"| @@"`
}

// compare compares an attribute of a machine class with a value, or looks for it in a list.
type compare struct {
	Pos   lexer.Position
	Attr  string   `parser:"@( 'type' | 'zone' | 'cpus' | 'gpus' | 'memory' | 'disk' | 'fetch' | 'price' )"`
	Op    string   `parser:"( @Op"`
	Value *value   `parser:"  @@"`
	NotIn bool     `parser:"| @'not'?"`
	In    []*value `parser:"  'in' '(' @@ ( ',' @@ )* ')' )"`
}

// value is a name or a number.
type value struct {
	Pos    lexer.Position
	Text   *string  `parser:"  @String"`
	Number *float64 `parser:"| @Number"`
}

// parser is built when the first text is parsed, so that a controller without rules pays nothing for it.
var parser = sync.OnceValue(buildParser)

func buildParser() *participle.Parser[file] {
	return participle.MustBuild[file](
		participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
			{Name: "Comment", Pattern: `#[^\n]*`},
			{Name: "Space", Pattern: `[ \t\r]+`},
			{Name: "Sep", Pattern: `[;\n]`},
			{Name: "Number", Pattern: `-?[0-9]+(\.[0-9]+)?`},
			{Name: "String", Pattern: `"[^"\n]*"`},
			{Name: "Op", Pattern: `!=|<=|>=|=|<|>`},
			{Name: "Punct", Pattern: `[(),]`},
			{Name: "Ident", Pattern: `[a-zA-Z][a-zA-Z0-9_-]*`},
		})),
		participle.Elide("Comment", "Space"),
		participle.Unquote("String"),
		participle.UseLookahead(2),
	)
}
