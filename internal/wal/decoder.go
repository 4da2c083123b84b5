package wal

import "encoding/binary"

// decoder reads the fields of a payload. After a malformed field, failed is set
// and further reads return zero values.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) byte() byte {
	if len(d.rest) == 0 {
		d.failed = true
		return 0
	}
	c := d.rest[0]
	d.rest = d.rest[1:]
	return c
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.failed, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

// bytes returns a copy, so that the result does not keep the file contents in
// memory.
func (d *decoder) bytes() []byte {
	n := d.uvarint()
	if n > uint64(len(d.rest)) {
		d.failed, d.rest = true, nil
		return nil
	}
	b := append([]byte(nil), d.rest[:n]...)
	d.rest = d.rest[n:]
	return b
}
