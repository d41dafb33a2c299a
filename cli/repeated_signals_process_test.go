package cli

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	repeatedCompletions = 12   // in flight at an instance
	repeatedTokens      = 3000 // of each answer; about 3 s
)

// streamCompletion returns the body of a streamed completion whose answer has begun.
func (f *trafficFleet) streamCompletion(address string, tokens int) (*bufio.Reader, error) {
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+address+"/v1/completions",
		strings.NewReader(`{"model":"`+processModel+`","max_tokens":`+strconv.Itoa(tokens)+`,"stream":true,"prompt":"a long answer"}`))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	f.t.Cleanup(func() { _ = response.Body.Close() })
	body := bufio.NewReader(response.Body)
	_, err = body.ReadString('\n')
	return body, err
}

// memoryFolder returns a folder without a disk, whose syncs may take seconds beside other tests.
func memoryFolder(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("/dev/shm", "celeryport-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}

// Guards against a signal that is sent twice and breaks off completions, while the first one waits for them.
func TestRepeatedSignalsBreakOffNoCompletion(t *testing.T) {
	f := serveTraffic(startProcessFleetIn(t, memoryFolder(t), 1, 2))
	stops := map[int][]syscall.Signal{ // the second one after 10 ms, more after a second
		1: {syscall.SIGTERM, syscall.SIGTERM},
		2: {syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT},
	}
	var running, begun sync.WaitGroup
	for i := range stops {
		for range repeatedCompletions {
			begun.Add(1)
			running.Go(func() {
				body, err := f.streamCompletion(f.traffic[i], repeatedTokens)
				begun.Done()
				if err != nil {
					t.Errorf("instance %d: no answer: %v", i, err)
					return
				}
				if text, err := io.ReadAll(body); err != nil || !strings.HasSuffix(strings.TrimSpace(string(text)), "data: [DONE]") {
					t.Errorf("instance %d: broken off after %d bytes: %v", i, len(text), err)
				}
			})
		}
	}
	begun.Wait()
	for i, series := range stops {
		running.Go(func() {
			for n, s := range series {
				time.Sleep([]time.Duration{0, 10 * time.Millisecond, time.Second, 0}[n])
				f.signal(i, s)
			}
		})
	}
	running.Wait()
	for i := range stops {
		if err := f.processes[i].Wait(); err != nil {
			t.Errorf("instance %d: %v", i, err)
		}
		f.processes[i] = nil
	}
}
