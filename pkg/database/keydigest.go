package database

import "crypto/sha256"

// KeyDigest is the SHA-256 digest of a key. A configuration holds digests only, so
// that no dump or log line of it shows a key, and a lookup compares no part of a
// key: how long it takes reveals nothing about the keys that exist.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns a fixed text. The digest of a short key can be reversed by trying
// all of them, so it is not printed either.
func (KeyDigest) String() string { return "key" }

// GoString is String for the format %#v.
func (d KeyDigest) GoString() string { return d.String() }

// MarshalText returns the text of String, for dumps.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }
