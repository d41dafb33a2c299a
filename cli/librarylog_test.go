package cli

import (
	"bytes"
	"log"
	"net"
	"net/http"
	"strings"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"
)

// Guards against messages of net/http on standard error, where nobody may read: the goroutine that
// writes one would block for good with the locks that it holds.
func TestMessagesOfLibrariesAreLogged(t *testing.T) {
	var before bytes.Buffer
	old := log.Writer()
	log.SetOutput(&before)
	defer log.SetOutput(old)
	logger, hook := logtest.NewNullLogger()
	restore := captureLibraries(logger)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("the handler") })}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	if answer, err := http.Get("http://" + listener.Addr().String()); err == nil {
		answer.Body.Close()
		t.Error("answered in spite of the panic")
	}
	server.Close()
	<-served
	restore()
	if before.Len() > 0 || len(hook.AllEntries()) == 0 {
		t.Fatalf("%d lines logged, written before: %q", len(hook.AllEntries()), before.String())
	}
	if text, _ := hook.LastEntry().Data["text"].(string); !strings.Contains(text, "panic serving") {
		t.Errorf("logged %q", text)
	}
	log.Print("afterwards")
	if !strings.Contains(before.String(), "afterwards") {
		t.Error("not restored")
	}
}
