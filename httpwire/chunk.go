package httpwire

import "strconv"

// AppendChunk appends data as one chunk of a chunked body. It appends nothing if data
// is empty, because an empty chunk would end the body.
func AppendChunk(to, data []byte) []byte {
	if len(data) == 0 {
		return to
	}
	to = strconv.AppendInt(to, int64(len(data)), 16)
	to = append(to, "\r\n"...)
	to = append(to, data...)
	return append(to, "\r\n"...)
}

// LastChunk ends a chunked body.
const LastChunk = "0\r\n\r\n"
