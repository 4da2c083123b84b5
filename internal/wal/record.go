package wal

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	recordHeader = 12
	// maxPayload bounds a record, so that a length is never used to allocate
	// memory beyond it. Snapshots are the largest records.
	maxPayload = 1 << 30
	// sectorSize is the smallest unit that a disk writes at once.
	sectorSize = 512
)

type recordStatus int

const (
	recordValid recordStatus = iota
	recordShort              // the file ends inside the record
	recordBad                // a checksum does not match
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func encodeRecord(payload []byte) ([]byte, error) {
	if len(payload) > maxPayload {
		return nil, Error.New("record of %d bytes exceeds %d bytes", len(payload), maxPayload)
	}
	b := make([]byte, recordHeader, recordHeader+len(payload))
	sealRecord(b, payload)
	return append(b, payload...), nil
}

// sealRecord fills in the header for the payload.
func sealRecord(header, payload []byte) {
	binary.LittleEndian.PutUint32(header, uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))
}

// readRecord reads the record at off. The separate checksum of the header
// tells a length that runs past the end of the file because the file is short
// from one that was damaged.
func readRecord(b []byte, off int) (payload []byte, next int, status recordStatus) {
	if len(b)-off < recordHeader {
		return nil, 0, recordShort
	}
	header := b[off : off+recordHeader]
	size := int(binary.LittleEndian.Uint32(header))
	if crc32.Checksum(header[:8], castagnoli) != binary.LittleEndian.Uint32(header[8:]) || size > maxPayload {
		return nil, 0, recordBad
	}
	start := off + recordHeader
	if len(b)-start < size {
		return nil, 0, recordShort
	}
	payload = b[start : start+size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, 0, recordBad
	}
	return payload, start + size, recordValid
}

// unfinished reports whether the damage at off can be the result of a crash
// during the last write: no valid record follows, and the record is either
// shorter than its header states or has a sector that was never written.
func unfinished(b []byte, off int, status recordStatus) bool {
	for next := off + 1; next+recordHeader <= len(b); next++ {
		if _, _, s := readRecord(b, next); s == recordValid {
			return false
		}
	}
	return status == recordShort || hasZeroSector(b, off)
}

func hasZeroSector(b []byte, off int) bool {
	for off < len(b) {
		end := min((off/sectorSize+1)*sectorSize, len(b))
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
