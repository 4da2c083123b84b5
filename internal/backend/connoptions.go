package backend

import "time"

// ConnOptions are the parameters of one connection.
type ConnOptions struct {
	Address     string // ip:port
	Database    string
	User        string
	DialTimeout time.Duration // limit for dialling and startup together; 0 means that only the context limits them
}
