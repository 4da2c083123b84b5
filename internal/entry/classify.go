package entry

// attributePrefix is the prefix of the attribute names in SET, SHOW and startup
// parameters.
const attributePrefix = "arbutusring"

// Classify splits sql into statements and classifies each. For text without a
// statement it returns one statement of ClassEmpty.
//
// It examines tokens rather than parsing the grammar, and is conservative: when
// in doubt, a statement is a write. Text in comments, strings and quoted
// identifiers is never taken for a keyword.
func Classify(sql string) []Statement {
	l := lexer{sql: sql}
	var statements []Statement
	tokens := make([]token, 0, 32)
	for {
		t, ok := l.next()
		if ok && !t.isSymbol(";") {
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

// wordAt returns the text of token i if it is a word, and "" otherwise.
func wordAt(tokens []token, i int) string {
	if i < len(tokens) && tokens[i].kind == tokenWord {
		return tokens[i].text
	}
	return ""
}

func unsupported(what string) Statement {
	return Statement{Class: ClassUnsupported, Reason: what + " is not supported: server connections keep no session state"}
}

func classifyOne(tokens []token) Statement {
	if s := findUnsupported(tokens); s.Class == ClassUnsupported {
		return s
	}
	for len(tokens) > 1 && tokens[0].isSymbol("(") {
		tokens = tokens[1:] // only queries can be in parentheses
	}
	first, second := wordAt(tokens, 0), wordAt(tokens, 1)
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
		if containsWord(tokens, "to") {
			return Statement{Class: ClassTransaction}
		}
		return Statement{Class: ClassRollback}
	case "savepoint", "release", "declare", "fetch", "move", "close", "lock":
		return Statement{Class: ClassTransaction}
	case "copy", "listen", "unlisten", "prepare", "execute", "deallocate", "discard", "load":
		return unsupported(upperASCII(first))
	case "create":
		if createsTemporary(tokens) {
			return unsupported("a temporary table, view or sequence")
		}
	}
	return Statement{Class: ClassWrite}
}

// findUnsupported returns a statement of ClassUnsupported if a construct anywhere
// in the statement leaves state at the server connection, or if an identifier
// has Unicode escapes. Otherwise it returns the zero Statement.
func findUnsupported(tokens []token) Statement {
	for i, t := range tokens {
		if t.kind == tokenInvalid && t.text == escapedIdentifier {
			return Statement{Class: ClassUnsupported, Reason: "an identifier with Unicode escapes is not supported"}
		}
		if t.kind != tokenWord && t.kind != tokenQuoted {
			continue
		}
		call := i+1 < len(tokens) && tokens[i+1].isSymbol("(")
		switch {
		case call && sessionFunctions[t.text]:
			return unsupported("the function " + t.text)
		case t.text == "pg_temp":
			return unsupported("the schema pg_temp")
		case t.isWord("with") && wordAt(tokens, i+1) == "hold":
			return unsupported("WITH HOLD")
		case t.isWord("into") && (wordAt(tokens, i+1) == "temp" || wordAt(tokens, i+1) == "temporary"):
			return unsupported("SELECT INTO TEMPORARY")
		case t.isWord("into") && (wordAt(tokens, i+1) == "local" || wordAt(tokens, i+1) == "global") &&
			(wordAt(tokens, i+2) == "temp" || wordAt(tokens, i+2) == "temporary"):
			return unsupported("SELECT INTO TEMPORARY")
		}
	}
	return Statement{}
}

// sessionFunctions change state of the server connection that outlives the
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
		switch wordAt(tokens, i) {
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
		case tokenInvalid:
			return ClassWrite
		case tokenWord:
			if writeKeywords[t.text] {
				return ClassWrite
			}
			if t.text == "for" {
				switch wordAt(tokens, i+1) {
				case "update", "share", "no", "key":
					return ClassWrite
				}
			}
		}
		if i+1 < len(tokens) && tokens[i+1].isSymbol("(") && isUnknownCall(tokens, i) {
			return ClassWrite
		}
	}
	return ClassRead
}

// writeKeywords make a query a write wherever they occur outside of quotes. Some
// of them are also legal column names; a query that uses such a column goes to
// the primary unnecessarily.
var writeKeywords = wordSet("insert", "update", "delete", "merge", "into", "truncate", "create", "drop", "alter",
	"grant", "revoke", "call", "do", "execute", "refresh", "reindex", "vacuum", "analyze", "copy", "lock", "nextval", "setval")

// isUnknownCall reports whether token i, which precedes a parenthesis, calls a
// function that is not listed in pureFunctions.
func isUnknownCall(tokens []token, i int) bool {
	t := tokens[i]
	if t.kind == tokenQuoted {
		return true
	}
	if t.kind != tokenWord {
		return false
	}
	if i > 0 && tokens[i-1].isSymbol(".") {
		return i < 2 || !tokens[i-2].isWord("pg_catalog") || !pureFunctions[t.text]
	}
	return !pureFunctions[t.text] && !nonCallWords[t.text]
}

// nonCallWords are keywords and type names that may precede a parenthesis without
// calling a function.
var nonCallWords = wordSet("all", "and", "any", "array", "as", "between", "by", "case", "cross", "cube", "distinct", "else",
	"except", "exists", "fetch", "filter", "first", "from", "full", "group", "grouping", "having", "ilike", "in",
	"inner", "intersect", "is", "join", "lateral", "left", "like", "limit", "materialized", "next", "not", "offset",
	"on", "or", "order", "over", "partition", "range", "right", "rollup", "row", "rows", "select", "sets", "similar",
	"some", "table", "then", "union", "using", "values", "when", "where", "window", "with", "within", "recursive",
	"only", "collate", "escape", "bit", "char", "character", "decimal", "float", "interval", "numeric", "time",
	"timestamp", "varbit", "varchar", "varying", "to")

// pureFunctions neither change data nor depend on the state of the server
// connection.
var pureFunctions = wordSet("abs", "age", "array_agg", "array_length", "array_to_string", "array_upper", "avg", "bit_length",
	"bool_and", "bool_or", "btrim", "cardinality", "cast", "ceil", "ceiling", "char_length", "chr", "coalesce", "concat",
	"concat_ws", "count", "current_database", "date_part", "date_trunc", "decode", "degrees", "dense_rank", "div",
	"encode", "every", "exp", "extract", "first_value", "floor", "format", "generate_series", "greatest", "initcap",
	"json_agg", "json_build_object", "jsonb_agg", "jsonb_build_object", "lag", "last_value", "lead", "least", "length",
	"ln", "log", "lower", "lpad", "ltrim", "make_date", "make_interval", "max", "md5", "min", "mod", "now", "nth_value",
	"ntile", "nullif", "octet_length", "overlay", "percent_rank", "position", "power", "radians", "rank", "regexp_match",
	"regexp_replace", "repeat", "replace", "reverse", "round", "row_number", "row_to_json", "rpad", "rtrim", "sign",
	"split_part", "sqrt", "string_agg", "strpos", "substr", "substring", "sum", "to_char", "to_date", "to_json",
	"to_jsonb", "to_number", "to_timestamp", "translate", "trim", "trunc", "unnest", "upper", "version")

func wordSet(words ...string) map[string]bool {
	m := make(map[string]bool, len(words))
	for _, w := range words {
		m[w] = true
	}
	return m
}

// classifyBegin distinguishes BEGIN READ ONLY from other transaction starts. A
// serializable transaction goes to the primary, because replicas don't support
// that isolation level.
func classifyBegin(tokens []token) Class {
	if containsWord(tokens, "serializable") {
		return ClassBegin
	}
	class := ClassBegin
	for i := range tokens {
		if wordAt(tokens, i) == "read" {
			switch wordAt(tokens, i+1) {
			case "only":
				class = ClassBeginReadOnly
			case "write":
				return ClassBegin
			}
		}
	}
	return class
}

func containsWord(tokens []token, text string) bool {
	for _, t := range tokens {
		if t.isWord(text) {
			return true
		}
	}
	return false
}

// parseAttribute parses "arbutusring.NAME" at token i and returns NAME and the
// index of the token after it. Without such a name it returns "" and i.
func parseAttribute(tokens []token, i int) (string, int) {
	if i+2 < len(tokens) && identifierText(tokens[i]) == attributePrefix && tokens[i+1].isSymbol(".") {
		return identifierText(tokens[i+2]), i + 3
	}
	return "", i
}

// identifierText returns the text of an identifier or keyword, and "" for any
// other token.
func identifierText(t token) string {
	if t.kind == tokenWord || t.kind == tokenQuoted {
		return t.text
	}
	return ""
}

func classifyShow(tokens []token) Statement {
	if name, end := parseAttribute(tokens, 1); name != "" && end == len(tokens) {
		return Statement{Class: ClassShow, Name: name}
	}
	return Statement{Class: ClassRead}
}

func classifyReset(tokens []token) Statement {
	if name, end := parseAttribute(tokens, 1); name != "" && end == len(tokens) {
		return Statement{Class: ClassSet, Name: name, Reset: true}
	}
	return unsupported("RESET of anything but " + attributePrefix + ".*")
}

func classifySet(tokens []token) Statement {
	i := 1
	switch wordAt(tokens, 1) {
	case "local", "constraints", "transaction":
		if name, _ := parseAttribute(tokens, 2); name != "" {
			return unsupported("SET LOCAL of an attribute")
		}
		return Statement{Class: ClassTransaction}
	case "session":
		i = 2
	}
	name, end := parseAttribute(tokens, i)
	if name == "" {
		return unsupported("SET of anything but " + attributePrefix + ".*")
	}
	if end < len(tokens) && (tokens[end].isSymbol("=") || tokens[end].isWord("to")) && end+1 < len(tokens) {
		value := tokens[end+1:]
		if len(value) == 1 {
			if value[0].isWord("default") {
				return Statement{Class: ClassSet, Name: name, Reset: true}
			}
			if value[0].kind != tokenSymbol && value[0].kind != tokenInvalid {
				return Statement{Class: ClassSet, Name: name, Value: value[0].text}
			}
		}
	}
	return Statement{Class: ClassUnsupported, Reason: "SET " + attributePrefix + "." + name + " needs exactly one value"}
}

func upperASCII(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c >= 'a' && c <= 'z' {
			b[i] = c - 'a' + 'A'
		}
	}
	return string(b)
}
