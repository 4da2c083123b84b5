package directoryrpc

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// maxDocument bounds a decompressed document, in bytes.
const maxDocument = 32 << 20

// Compress returns the compressed form of a configuration document, which
// repeats the same words for every database.
func Compress(document []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(document)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic("directoryrpc: compressing into memory: " + err.Error())
	}
	return b.Bytes()
}

// Decompress returns the document.
func Decompress(compressed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDocument))
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "decompressing a configuration")
	}
	return data, nil
}
