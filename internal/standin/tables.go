package standin

import "sort"

// tables maps table names to rows, and keys to values.
type tables map[string]map[string]string

// apply applies the changes of a record.
func (t tables) apply(changes []rowChange) {
	for _, change := range changes {
		rows := t[change.Row.Table]
		if change.Deleted {
			delete(rows, change.Row.Key)
			continue
		}
		if rows == nil {
			rows = make(map[string]string)
			t[change.Row.Table] = rows
		}
		rows[change.Row.Key] = change.Value
	}
}

// get returns the value of a row as tx sees it.
func (t tables) get(tx *transaction, row rowKey) (string, bool) {
	if c, ok := tx.changes[row]; ok {
		return c.Value, !c.Deleted
	}
	v, ok := t[row.Table][row.Key]
	return v, ok
}

// keys returns the sorted keys of a table as tx sees it.
func (t tables) keys(tx *transaction, table string) []string {
	keys := make([]string, 0, len(t[table]))
	for k := range t[table] {
		if c, ok := tx.changes[rowKey{table, k}]; !ok || !c.Deleted {
			keys = append(keys, k)
		}
	}
	for row, c := range tx.changes {
		if row.Table != table || c.Deleted {
			continue
		}
		if _, ok := t[table][row.Key]; !ok {
			keys = append(keys, row.Key)
		}
	}
	sort.Strings(keys)
	return keys
}
