package directoryrpc

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// maxDocumentBytes is the maximum size of a decompressed document.
const maxDocumentBytes = 32 << 20

// Compress returns the compressed form of a configuration document. Documents
// compress well, because they repeat the same keys for every database.
func Compress(document []byte) []byte {
	var b bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&b)
	_, err := w.Write(document)
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic("directoryrpc: compressing into memory: " + err.Error())
	}
	return b.Bytes()
}

// compressors holds *flate.Writer, each of which has buffers of about 1 MB.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("directoryrpc: " + err.Error())
	}
	return w
}}

// Decompress returns the configuration document that Compress was given. A document
// of more than 32 MiB is an error.
func Decompress(compressed []byte) ([]byte, error) {
	in := bytes.NewReader(compressed)
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(in), maxDocumentBytes+1))
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "decompressing a configuration")
	}
	if len(data) > maxDocumentBytes {
		return nil, errkind.New(errkind.BadRequest, "the configuration is larger than %d bytes", maxDocumentBytes)
	}
	if in.Len() > 0 {
		return nil, errkind.New(errkind.BadRequest, "%d bytes follow a compressed configuration", in.Len())
	}
	return data, nil
}
