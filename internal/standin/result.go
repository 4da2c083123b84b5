package standin

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Object ids (OIDs) of PostgreSQL types.
const (
	oidBool = 16
	oidInt8 = 20
	oidInt4 = 23
	oidText = 25
	oidVoid = 2278
	oidLSN  = 3220
)

// column describes a result column.
type column struct {
	name string
	oid  uint32
}

func textColumns(names []string) []column {
	columns := make([]column, len(names))
	for i, n := range names {
		columns[i] = column{n, oidText}
	}
	return columns
}

// result is the result of one statement. Values are string, int64, bool or
// lsn; nil is NULL.
type result struct {
	columns []column // nil if the statement returns no rows
	rows    [][]any
	tag     string // command tag
}

// lsn is a value of type pg_lsn.
type lsn uint64

func (l lsn) String() string { return fmt.Sprintf("%X/%X", uint64(l)>>32, uint64(l)&0xFFFFFFFF) }

// positionValues returns the column values of a position.
func positionValues(p logpos.Position) (term, lsnValue any) { return int64(p.Term), lsn(p.LSN) }

// encode returns v in text format (0) or binary format (1).
func encode(v any, oid uint32, format int16) []byte {
	switch v := v.(type) {
	case nil:
		return nil
	case string:
		return []byte(v)
	case bool:
		if format == 1 {
			if v {
				return []byte{1}
			}
			return []byte{0}
		}
		if v {
			return []byte("t")
		}
		return []byte("f")
	case lsn:
		if format == 1 {
			return binary.BigEndian.AppendUint64(nil, uint64(v))
		}
		return []byte(v.String())
	case int64:
		switch {
		case format == 0:
			return strconv.AppendInt(nil, v, 10)
		case oid == oidInt4:
			return binary.BigEndian.AppendUint32(nil, uint32(v))
		default:
			return binary.BigEndian.AppendUint64(nil, uint64(v))
		}
	}
	panic(fmt.Sprintf("standin: value of type %T", v))
}

// formatOf returns the format of value i by the rules of Bind: no code means text
// for all values, and a single code applies to all values.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

// rowDescription returns the RowDescription message for columns in the given
// formats.
func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		size := int16(-1)
		switch c.oid {
		case oidBool:
			size = 1
		case oidInt4, oidVoid:
			size = 4
		case oidInt8, oidLSN:
			size = 8
		}
		fields[i] = pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: size, TypeModifier: -1, Format: formatOf(formats, i),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}
