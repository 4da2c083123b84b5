package wal

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	recordHeaderBytes = 12
	// maxPayloadBytes bounds the payload of a record, so that a length field never
	// leads to a larger allocation. Snapshots are the largest records.
	maxPayloadBytes = 1 << 30
	// sectorBytes is the smallest unit that a disk writes atomically.
	sectorBytes = 512
)

type recordStatus int

const (
	recordValid     recordStatus = iota
	recordTruncated              // the file ends within the record
	recordCorrupt                // a checksum does not match
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord returns the header and the payload as one record.
func encodeRecord(payload []byte) ([]byte, error) {
	if len(payload) > maxPayloadBytes {
		return nil, Error.New("record of %d bytes exceeds %d bytes", len(payload), maxPayloadBytes)
	}
	b := make([]byte, recordHeaderBytes, recordHeaderBytes+len(payload))
	sealRecord(b, payload)
	return append(b, payload...), nil
}

// sealRecord fills in the header for the payload.
func sealRecord(header, payload []byte) {
	binary.LittleEndian.PutUint32(header, uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))
}

// readRecord reads the record at off. If the length in the header points past
// the end of the file, the separate checksum of the header shows whether the
// file is truncated or the length is damaged.
func readRecord(b []byte, off int) (payload []byte, next int, status recordStatus) {
	if len(b)-off < recordHeaderBytes {
		return nil, 0, recordTruncated
	}
	header := b[off : off+recordHeaderBytes]
	size := int(binary.LittleEndian.Uint32(header))
	if crc32.Checksum(header[:8], castagnoli) != binary.LittleEndian.Uint32(header[8:]) || size > maxPayloadBytes {
		return nil, 0, recordCorrupt
	}
	start := off + recordHeaderBytes
	if len(b)-start < size {
		return nil, 0, recordTruncated
	}
	payload = b[start : start+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, 0, recordCorrupt
	}
	return payload, start + size, recordValid
}

// isTornWrite reports whether the damage at off can be the result of a crash
// during the last write: no valid record follows, and the record is either
// shorter than its header states or contains a sector that was never written.
func isTornWrite(b []byte, off int, status recordStatus) bool {
	for next := off + 1; next+recordHeaderBytes <= len(b); next++ {
		if _, _, s := readRecord(b, next); s == recordValid {
			return false
		}
	}
	return status == recordTruncated || hasZeroSector(b, off)
}

// hasZeroSector reports whether b contains, from off, a sector of zeros only.
func hasZeroSector(b []byte, off int) bool {
	for off < len(b) {
		end := min((off/sectorBytes+1)*sectorBytes, len(b))
		zero := true
		for _, c := range b[off:end] {
			if c != 0 {
				zero = false
				break
			}
		}
		if zero {
			return true
		}
		off = end
	}
	return false
}
