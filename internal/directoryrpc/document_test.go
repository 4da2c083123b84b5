package directoryrpc_test

import (
	"bytes"
	"testing"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/matryer/is"
)

// TestDocumentLimit guards against a document that is cut off at the limit and
// taken for the whole one.
func TestDocumentLimit(t *testing.T) {
	const limit = 32 << 20
	tests := []struct {
		name  string
		bytes int
		valid bool
	}{
		{"at the limit", limit, true},
		{"above the limit", limit + 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			document := bytes.Repeat([]byte("x"), test.bytes)
			got, err := directoryrpc.Decompress(directoryrpc.Compress(document))
			is.Equal(err == nil, test.valid)
			is.True(!test.valid || bytes.Equal(got, document))
		})
	}
}

// TestBytesAfterDocument guards against compressed changes of which only the beginning is
// read.
func TestBytesAfterDocument(t *testing.T) {
	is := is.New(t)
	compressed := directoryrpc.Compress([]byte("document"))
	_, err := directoryrpc.Decompress(append(compressed, directoryrpc.Compress([]byte("other"))...))
	is.True(err != nil)
	_, err = directoryrpc.Decompress(compressed[:len(compressed)-1])
	is.True(err != nil)
}
