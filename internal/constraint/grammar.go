package constraint

import (
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The types below are the syntax tree of a constraint text, and their tags its grammar. The parser uses the names of
// these types in its error messages (see readableTerms), so renaming a type changes what users read.

// ruleText is a whole constraint text: clauses separated by semicolons or line breaks.
type ruleText struct {
	Clauses []*clause `parser:"Sep* ( @@ ( Sep+ @@ )* Sep* )?"`
}

// clause is one requirement or preference: an affinity or anti-affinity to another job, a limit on the job's own
// tasks, or an expression on machine classes. Weight is nil unless Preferred is set. By and Per are "zone",
// "machine", or empty if the clause names neither.
type clause struct {
	Pos        lexer.Position
	Required   bool     `parser:"( @'require'"`
	Preferred  bool     `parser:"| @'prefer'"`
	Weight     *float64 `parser:"@Number )"`
	SameZoneAs string   `parser:"( 'same' 'zone' 'as' @Ident"`
	ApartFrom  string   `parser:"| 'apart' 'from' @Ident"`
	By         string   `parser:"  ( 'by' @( 'zone' | 'machine' ) )?"`
	MaxTasks   *float64 `parser:"| 'at' 'most' @Number"`
	Per        string   `parser:"  'per' @( 'zone' | 'machine' )"`
	Expr       *either  `parser:"| @@ )"`
	EndPos     lexer.Position
}

// either is a disjunction: it holds if at least one of its conjunctions holds.
type either struct {
	Any []*both `parser:"@@ ( 'or' @@ )*"`
}

// both is a conjunction: it holds if all of its terms hold.
type both struct {
	All []*term `parser:"@@ ( 'and' @@ )*"`
}

// term is a negation, a group in parentheses, a keyword or a comparison.
type term struct {
	Not     *term    `parser:"  'not' @@"`
	Group   *either  `parser:"| '(' @@ ')'"`
	Spot    bool     `parser:"| @'spot'"`
	Image   bool     `parser:"| @( 'image' 'present' )"`
	Compare *compare `parser:"| @@"`
}

// compare compares an attribute of a machine class with a value, or tests whether it is in a list of values. Value is
// nil if the operator is "in" or "not in".
type compare struct {
	Pos   lexer.Position
	Attr  string   `parser:"@( 'type' | 'zone' | 'cpus' | 'gpus' | 'memory' | 'disk' | 'fetch' | 'price' )"`
	Op    string   `parser:"( @Op"`
	Value *value   `parser:"  @@"`
	NotIn bool     `parser:"| @'not'?"`
	In    []*value `parser:"  'in' '(' @@ ( ',' @@ )* ')' )"`
}

// value is a string or a number; the field of the other kind is nil.
type value struct {
	Pos    lexer.Position
	Text   *string  `parser:"  @String"`
	Number *float64 `parser:"| @Number"`
}

// parser returns the parser of constraint texts. It is built on first use, so that it costs nothing in a controller
// whose jobs have no constraints.
var parser = sync.OnceValue(buildParser)

func buildParser() *participle.Parser[ruleText] {
	return participle.MustBuild[ruleText](
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
