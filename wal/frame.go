package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A segment file starts with segmentMagic, a random marker and the CRC-32C of
// both. It is followed by frames:
//
//	marker (4 bytes) | length (4) | CRC-32C of marker, length and content (4) | content
//
// One call of Append writes one frame and syncs it before the next. An invalid
// frame at the end of the newest file was therefore never acknowledged, while an
// invalid frame that is followed by a valid one was.
const (
	segmentMagic = "cptlog01"
	markerSize   = 4
	headerSize   = len(segmentMagic) + markerSize + 4
	frameHead    = markerSize + 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type marker [markerSize]byte

// segmentHeader returns the header of a segment file.
func segmentHeader(m marker) []byte {
	header := append([]byte(segmentMagic), m[:]...)
	return binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
}

// readHeader returns the marker of a segment file. The header has a checksum
// because a wrong marker would make all frames unreadable, and the whole file would
// look like a torn write.
func readHeader(data []byte) (m marker, ok bool) {
	if len(data) < headerSize {
		return m, false
	}
	copy(m[:], data[len(segmentMagic):])
	return m, bytes.Equal(data[:headerSize], segmentHeader(m))
}

// appendFrame appends a frame with the given content, which contains records.
func appendFrame(to []byte, m marker, content []byte) []byte {
	start := len(to)
	to = append(to, m[:]...)
	to = binary.LittleEndian.AppendUint32(to, uint32(len(content)))
	sum := crc32.Checksum(to[start:], castagnoli)
	sum = crc32.Update(sum, castagnoli, content)
	to = binary.LittleEndian.AppendUint32(to, sum)
	return append(to, content...)
}

// readFrame returns the content of the frame at the start of data.
func readFrame(data []byte, m marker) (content []byte, ok bool) {
	if len(data) < frameHead || !bytes.Equal(data[:markerSize], m[:]) {
		return nil, false
	}
	length := int64(binary.LittleEndian.Uint32(data[markerSize:]))
	if length > int64(len(data)-frameHead) {
		return nil, false
	}
	content = data[frameHead : int64(frameHead)+length]
	sum := crc32.Checksum(data[:markerSize+4], castagnoli)
	sum = crc32.Update(sum, castagnoli, content)
	return content, sum == binary.LittleEndian.Uint32(data[markerSize+4:])
}

// containsFrame reports whether a valid frame starts anywhere in data.
func containsFrame(data []byte, m marker) bool {
	for {
		i := bytes.Index(data, m[:])
		if i < 0 {
			return false
		}
		if _, ok := readFrame(data[i:], m); ok {
			return true
		}
		data = data[i+1:]
	}
}

// appendRecord appends one record to the content of a frame.
func appendRecord(to, record []byte) []byte {
	to = binary.AppendUvarint(to, uint64(len(record)))
	return append(to, record...)
}

// splitRecords returns the records in a frame's content.
func splitRecords(content []byte) ([][]byte, bool) {
	var records [][]byte
	for len(content) > 0 {
		length, n := binary.Uvarint(content)
		if n <= 0 || length > uint64(len(content)-n) {
			return nil, false
		}
		records = append(records, content[n:n+int(length)])
		content = content[n+int(length):]
	}
	return records, true
}
