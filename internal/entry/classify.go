package entry

// attributePrefix is the name space of the attributes.
const attributePrefix = "arbutusring"

// Classify splits sql into statements and classifies each. Text without any
// statement gives one statement of ClassEmpty.
//
// It is a conservative look at the tokens, not a parser: when in doubt, a
// statement is a write. Text in comments, strings and quoted identifiers is
// never taken for a keyword.
func Classify(sql string) []Statement {
	l := lexer{sql: sql}
	var statements []Statement
	tokens := make([]token, 0, 32)
	for {
		t, ok := l.next()
		if ok && !t.symbol(";") {
			tokens = append(tokens, t)
			continue
		}
		if len(tokens) > 0 {
			statements = append(statements, classifyOne(tokens))
			tokens = tokens[:0]
		}
		if !ok {
			break
		}
	}
	if len(statements) == 0 {
		statements = []Statement{{Class: ClassEmpty}}
	}
	return statements
}

// word returns the text of token i if it is a word, and "" otherwise.
func word(tokens []token, i int) string {
	if i < len(tokens) && tokens[i].kind == tokenWord {
		return tokens[i].text
	}
	return ""
}

func unsupported(what string) Statement {
	return Statement{Class: ClassUnsupported, Reason: what + " is not supported: server connections keep no session state"}
}

func classifyOne(tokens []token) Statement {
	if s := stateful(tokens); s.Class == ClassUnsupported {
		return s
	}
	for len(tokens) > 1 && tokens[0].symbol("(") {
		tokens = tokens[1:] // only queries can stand in parentheses
	}
	first, second := word(tokens, 0), word(tokens, 1)
	switch first {
	case "select", "values", "table", "with":
		return Statement{Class: classifyQuery(tokens)}
	case "show":
		return classifyShow(tokens)
	case "set":
		return classifySet(tokens)
	case "reset":
		return classifyReset(tokens)
	case "begin":
		return Statement{Class: classifyBegin(tokens)}
	case "start":
		return Statement{Class: classifyBegin(tokens)}
	case "commit", "end":
		if second == "prepared" {
			return unsupported("COMMIT PREPARED")
		}
		return Statement{Class: ClassCommit}
	case "abort":
		return Statement{Class: ClassRollback}
	case "rollback":
		if second == "prepared" {
			return unsupported("ROLLBACK PREPARED")
		}
		if contains(tokens, "to") {
			return Statement{Class: ClassTransaction}
		}
		return Statement{Class: ClassRollback}
	case "savepoint", "release", "declare", "fetch", "move", "close", "lock":
		return Statement{Class: ClassTransaction}
	case "copy", "listen", "unlisten", "prepare", "execute", "deallocate", "discard", "load":
		return unsupported(upper(first))
	case "create":
		if createsTemporary(tokens) {
			return unsupported("a temporary table, view or sequence")
		}
	}
	return Statement{Class: ClassWrite}
}

// stateful finds constructs that leave state at the server connection,
// wherever they stand in the statement.
func stateful(tokens []token) Statement {
	for i, t := range tokens {
		if t.kind == tokenBroken && t.text == escapedIdentifier {
			return Statement{Class: ClassUnsupported, Reason: "an identifier with Unicode escapes is not supported"}
		}
		if t.kind != tokenWord && t.kind != tokenQuoted {
			continue
		}
		call := i+1 < len(tokens) && tokens[i+1].symbol("(")
		switch {
		case call && sessionFunctions[t.text]:
			return unsupported("the function " + t.text)
		case t.text == "pg_temp":
			return unsupported("the schema pg_temp")
		case t.is("with") && word(tokens, i+1) == "hold":
			return unsupported("WITH HOLD")
		case t.is("into") && (word(tokens, i+1) == "temp" || word(tokens, i+1) == "temporary"):
			return unsupported("SELECT INTO TEMPORARY")
		case t.is("into") && (word(tokens, i+1) == "local" || word(tokens, i+1) == "global") &&
			(word(tokens, i+2) == "temp" || word(tokens, i+2) == "temporary"):
			return unsupported("SELECT INTO TEMPORARY")
		}
	}
	return Statement{}
}

// sessionFunctions change the state of the server connection beyond the
// transaction.
var sessionFunctions = map[string]bool{
	"pg_advisory_lock":            true,
	"pg_advisory_lock_shared":     true,
	"pg_try_advisory_lock":        true,
	"pg_try_advisory_lock_shared": true,
	"pg_advisory_unlock":          true,
	"pg_advisory_unlock_shared":   true,
	"pg_advisory_unlock_all":      true,
	"set_config":                  true,
	"dblink_connect":              true,
	"dblink_connect_u":            true,
	"setseed":                     true,
	"lo_open":                     true,
}

func createsTemporary(tokens []token) bool {
	for i := 1; i < len(tokens) && i < 5; i++ {
		switch word(tokens, i) {
		case "temp", "temporary":
			return true
		case "or", "replace", "local", "global", "recursive":
		default:
			return false
		}
	}
	return false
}

// classifyQuery distinguishes reads from writes among statements that begin
// like a query.
func classifyQuery(tokens []token) Class {
	for i, t := range tokens {
		switch t.kind {
		case tokenBroken:
			return ClassWrite
		case tokenWord:
			if changingWords[t.text] {
				return ClassWrite
			}
			if t.text == "for" {
				switch word(tokens, i+1) {
				case "update", "share", "no", "key":
					return ClassWrite
				}
			}
		}
		if i+1 < len(tokens) && tokens[i+1].symbol("(") && isCall(tokens, i) {
			return ClassWrite
		}
	}
	return ClassRead
}

// changingWords make a query a write wherever they stand outside of quotes.
// Some of them are also legal column names; such a query goes to the primary
// without need.
var changingWords = set("insert", "update", "delete", "merge", "into", "truncate", "create", "drop", "alter",
	"grant", "revoke", "call", "do", "execute", "refresh", "reindex", "vacuum", "analyze", "copy", "lock", "nextval", "setval")

// isCall reports whether the token before a parenthesis calls a function that
// is not known to be harmless.
func isCall(tokens []token, i int) bool {
	t := tokens[i]
	if t.kind == tokenQuoted {
		return true
	}
	if t.kind != tokenWord {
		return false
	}
	if i > 0 && tokens[i-1].symbol(".") {
		return i < 2 || !tokens[i-2].is("pg_catalog") || !pureFunctions[t.text]
	}
	return !pureFunctions[t.text] && !callWords[t.text]
}

// callWords are keywords and type names that may stand before a parenthesis.
var callWords = set("all", "and", "any", "array", "as", "between", "by", "case", "cross", "cube", "distinct", "else",
	"except", "exists", "fetch", "filter", "first", "from", "full", "group", "grouping", "having", "ilike", "in",
	"inner", "intersect", "is", "join", "lateral", "left", "like", "limit", "materialized", "next", "not", "offset",
	"on", "or", "order", "over", "partition", "range", "right", "rollup", "row", "rows", "select", "sets", "similar",
	"some", "table", "then", "union", "using", "values", "when", "where", "window", "with", "within", "recursive",
	"only", "collate", "escape", "bit", "char", "character", "decimal", "float", "interval", "numeric", "time",
	"timestamp", "varbit", "varchar", "varying", "to")

// pureFunctions neither change data nor depend on the server connection.
var pureFunctions = set("abs", "age", "array_agg", "array_length", "array_to_string", "array_upper", "avg", "bit_length",
	"bool_and", "bool_or", "btrim", "cardinality", "cast", "ceil", "ceiling", "char_length", "chr", "coalesce", "concat",
	"concat_ws", "count", "current_database", "date_part", "date_trunc", "decode", "degrees", "dense_rank", "div",
	"encode", "every", "exp", "extract", "first_value", "floor", "format", "generate_series", "greatest", "initcap",
	"json_agg", "json_build_object", "jsonb_agg", "jsonb_build_object", "lag", "last_value", "lead", "least", "length",
	"ln", "log", "lower", "lpad", "ltrim", "make_date", "make_interval", "max", "md5", "min", "mod", "now", "nth_value",
	"ntile", "nullif", "octet_length", "overlay", "percent_rank", "position", "power", "radians", "rank", "regexp_match",
	"regexp_replace", "repeat", "replace", "reverse", "round", "row_number", "row_to_json", "rpad", "rtrim", "sign",
	"split_part", "sqrt", "string_agg", "strpos", "substr", "substring", "sum", "to_char", "to_date", "to_json",
	"to_jsonb", "to_number", "to_timestamp", "translate", "trim", "trunc", "unnest", "upper", "version")

func set(words ...string) map[string]bool {
	m := make(map[string]bool, len(words))
	for _, w := range words {
		m[w] = true
	}
	return m
}

// classifyBegin recognizes READ ONLY. A serializable transaction goes to the
// primary, because replicas do not offer that level.
func classifyBegin(tokens []token) Class {
	if contains(tokens, "serializable") {
		return ClassBegin
	}
	class := ClassBegin
	for i := range tokens {
		if word(tokens, i) == "read" {
			switch word(tokens, i+1) {
			case "only":
				class = ClassBeginReadOnly
			case "write":
				return ClassBegin
			}
		}
	}
	return class
}

func contains(tokens []token, text string) bool {
	for _, t := range tokens {
		if t.is(text) {
			return true
		}
	}
	return false
}

// attribute reads "arbutusring.NAME" at i and returns NAME and the index
// behind it.
func attribute(tokens []token, i int) (string, int) {
	if i+2 < len(tokens) && identifier(tokens[i]) == attributePrefix && tokens[i+1].symbol(".") {
		return identifier(tokens[i+2]), i + 3
	}
	return "", i
}

func identifier(t token) string {
	if t.kind == tokenWord || t.kind == tokenQuoted {
		return t.text
	}
	return ""
}

func classifyShow(tokens []token) Statement {
	if name, end := attribute(tokens, 1); name != "" && end == len(tokens) {
		return Statement{Class: ClassShow, Name: name}
	}
	return Statement{Class: ClassRead}
}

func classifyReset(tokens []token) Statement {
	if name, end := attribute(tokens, 1); name != "" && end == len(tokens) {
		return Statement{Class: ClassSet, Name: name, Reset: true}
	}
	return unsupported("RESET of anything but " + attributePrefix + ".*")
}

func classifySet(tokens []token) Statement {
	i := 1
	switch word(tokens, 1) {
	case "local", "constraints", "transaction":
		if name, _ := attribute(tokens, 2); name != "" {
			return unsupported("SET LOCAL of an attribute")
		}
		return Statement{Class: ClassTransaction}
	case "session":
		i = 2
	}
	name, end := attribute(tokens, i)
	if name == "" {
		return unsupported("SET of anything but " + attributePrefix + ".*")
	}
	if end < len(tokens) && (tokens[end].symbol("=") || tokens[end].is("to")) && end+1 < len(tokens) {
		value := tokens[end+1:]
		if len(value) == 1 {
			if value[0].is("default") {
				return Statement{Class: ClassSet, Name: name, Reset: true}
			}
			if value[0].kind != tokenSymbol && value[0].kind != tokenBroken {
				return Statement{Class: ClassSet, Name: name, Value: value[0].text}
			}
		}
	}
	return Statement{Class: ClassUnsupported, Reason: "SET " + attributePrefix + "." + name + " needs exactly one value"}
}

func upper(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c >= 'a' && c <= 'z' {
			b[i] = c - 'a' + 'A'
		}
	}
	return string(b)
}
