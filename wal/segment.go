package wal

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
)

// File name suffixes.
const (
	logSuffix        = ".log"        // continues the previous file
	checkpointSuffix = ".checkpoint" // replaces all previous files
	temporarySuffix  = ".tmp"        // incomplete; removed at the next start
)

// segment identifies one file of a record log.
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

// content is the decoded content of a segment file.
type content struct {
	marker     marker
	records    [][]byte
	tornOffset int64 // offset of a torn write in the newest file; negative if there is none
}

// readSegment decodes a segment file. In the newest file, an incomplete last frame
// is a torn write; any other unreadable data is damage.
func readSegment(file string, data []byte, newest bool) (content, error) {
	m, ok := readHeader(data)
	c := content{marker: m, tornOffset: -1}
	if !ok {
		return c, &DamagedError{file, 0, "no valid header"}
	}
	offset := headerSize
	for offset < len(data) {
		frame, ok := readFrame(data[offset:], c.marker)
		if !ok {
			return c.checkTail(file, data, offset, newest)
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

// checkTail determines whether the unreadable rest of a file is a torn write.
func (c content) checkTail(file string, data []byte, offset int, newest bool) (content, error) {
	if !newest {
		return c, &DamagedError{file, int64(offset), "bad checksum or length, and newer files exist"}
	}
	if containsFrame(data[offset+1:], c.marker) {
		return c, &DamagedError{file, int64(offset), "bad checksum or length, and newer records follow"}
	}
	c.tornOffset = int64(offset)
	return c, nil
}
