// Package encoder defines the messages between processes and their framing on a stream.
//
// A stream starts with one frame, the request message. A frame is a kind byte, a 32-bit big-endian length and a CBOR
// value. After the frame of a Request or a Response, the rest of the stream in that direction is the body.
package encoder
