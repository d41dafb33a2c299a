package wal

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

// The suffixes of the package's files.
const (
	logSuffix        = ".log"        // goes on where the file before ends
	checkpointSuffix = ".checkpoint" // replaces all files before it
	temporarySuffix  = ".tmp"        // not complete: removed at the next start
)

// segment names one file of a record log.
type segment struct {
	number     uint64
	checkpoint bool
}

func (s segment) name() string {
	suffix := logSuffix
	if s.checkpoint {
		suffix = checkpointSuffix
	}
	return fmt.Sprintf("%016x%s", s.number, suffix)
}

func parseSegment(name string) (segment, bool) {
	suffix := filepath.Ext(name)
	if suffix != logSuffix && suffix != checkpointSuffix {
		return segment{}, false
	}
	number, err := strconv.ParseUint(strings.TrimSuffix(name, suffix), 16, 64)
	return segment{number, suffix == checkpointSuffix}, err == nil
}

// content is what a segment file holds.
type content struct {
	marker  marker
	records [][]byte
	torn    int64 // offset from which the newest file must be cut; negative: nowhere
}

// readSegment decodes a segment file. In the newest file an incomplete last
// frame is a torn write; anything else that can't be read is damage.
func readSegment(file string, data []byte, newest bool) (content, error) {
	m, ok := readHeader(data)
	c := content{marker: m, torn: -1}
	if !ok {
		return c, &DamagedError{file, 0, "no valid header"}
	}
	offset := headerSize
	for offset < len(data) {
		frame, ok := readFrame(data[offset:], c.marker)
		if !ok {
			return c.tail(file, data, offset, newest)
		}
		records, ok := splitRecords(frame)
		if !ok {
			return c, &DamagedError{file, int64(offset), "records do not fill their frame"}
		}
		c.records = append(c.records, records...)
		offset += frameHead + len(frame)
	}
	return c, nil
}

// tail decides whether the unreadable rest of a file is a torn write.
func (c content) tail(file string, data []byte, offset int, newest bool) (content, error) {
	if !newest {
		return c, &DamagedError{file, int64(offset), "bad checksum or length, and newer files exist"}
	}
	if frameBehind(data[offset+1:], c.marker) {
		return c, &DamagedError{file, int64(offset), "bad checksum or length, and newer records follow"}
	}
	c.torn = int64(offset)
	return c, nil
}
