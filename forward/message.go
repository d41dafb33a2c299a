package forward

import "net"

// combinedSize is the message size up to which head and body are written as one: below it a copy
// costs less than a second packet.
const combinedSize = 16 << 10

// message returns the buffers of a message. A long body is not copied: prompts have megabytes, and
// each send would otherwise hold its body a second time until it is written.
func message(head, body []byte) net.Buffers {
	if len(head)+len(body) <= combinedSize {
		return net.Buffers{append(head, body...)}
	}
	return net.Buffers{head, body}
}

// sizeOf returns the total length of buffers.
func sizeOf(buffers net.Buffers) int {
	size := 0
	for _, b := range buffers {
		size += len(b)
	}
	return size
}
