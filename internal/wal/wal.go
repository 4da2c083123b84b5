// Package wal stores the replicated log of one host under one data folder.
//
// # Files
//
//   - lock: held with flock while a process has the folder open
//   - identity.json: the host id and the incarnation of the folder, created
//     once; a folder whose files were lost gets a new incarnation
//   - NNNN.wal: log segments with consecutive numbers, append-only
//   - snapshot-INDEX-TERM.snap: the newest snapshot
//   - *.tmp: unfinished files, removed by Open
//
// # Durability
//
// Save, SaveSnapshot and Reset return only after fsync of the file, and of the
// folder if a file was created or renamed. Open syncs the folder and the last
// segment before it returns what it found, because a process that was killed may
// have written it without a sync. After a failed write or fsync the log refuses all
// further writes: the kernel may have dropped the dirty pages, so a second fsync
// would report success for data that is not on disk.
//
// # Records
//
// A record is a 12-byte header (length, checksum of the payload, checksum of
// the first 8 bytes) and a payload of items. Each record is synced before the
// next is written, so a crash can only damage the last record of the last
// segment. Open cuts off such a record. It refuses any other damage with an
// error that states the file and the offset.
//
// An entry replaces the entry with the same index and removes all later ones.
// The truncation of a conflicting suffix is therefore atomic with the write of
// its replacement.
//
// # Usage
//
//	log, contents, err := wal.Open(wal.Options{Dir: dir, Host: "c1"})
//	err = log.Save(&hardState, entries)
//	err = log.SaveSnapshot(snapshot)
//	err = log.Compact(snapshot.Index - 100)
//	err = log.Close()
//
// A Log is not safe for concurrent use, except that SaveSnapshot may run
// concurrently with Save, Reset, Compact and a SaveSnapshot of another index.
package wal

import "github.com/zeebo/errs"

// Error is the class of all errors of this package.
var Error = errs.Class("wal")
