package peer

// header is rpc.Request or rpc.Response; a pointer is nil if the message lacks the value.
type header struct {
	ServiceMethod string
	Seq           *uint64
	Error         *string
}
