package forward

import (
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"goldcrestfork/router/listen"
)

const (
	// callerStall is the time after which a caller that reads nothing of its answer is cut off. Until
	// then the VM holds the answer for it, and the endpoint of a stream its slot.
	callerStall = 5 * time.Second
	// callerWriteSize is the size of the pieces in which an answer is written. The limit applies to
	// each piece, so that a caller that reads slowly isn't cut off.
	callerWriteSize = 4 << 10
	// progressInterval is the time between two looks at a caller that a write waits for. The kernel
	// lets a write go on only once a third of its buffer is free, so that a caller that takes 10 KB a
	// second would seem to take nothing for 5 s.
	progressInterval = time.Second
)

// callerWriter is a caller's connection with a limit on the time that a write waits for the caller.
// There is no limit between writes: a stream may be silent for long.
type callerWriter struct {
	http.ResponseWriter
	rc      *http.ResponseController
	stalled func() // called when the limit has passed
	failed  bool
	// queued returns the bytes that the kernel holds for the caller; nil if that isn't known.
	queued func() (int, bool)

	mu         sync.Mutex
	writing    bool
	timer      *time.Timer // calls checkProgress while a write waits
	lastQueued int         // result of queued at the last check of this write, -1 for none
}

func newCallerWriter(w http.ResponseWriter, queued func() (int, bool), stalled func()) *callerWriter {
	return &callerWriter{ResponseWriter: w, rc: http.NewResponseController(w), queued: queued, stalled: stalled}
}

// Unwrap returns the connection's own writer, for http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes b in pieces, each within the limit.
func (w *callerWriter) Write(b []byte) (written int, err error) {
	for first := true; first || len(b) > 0; first = false {
		piece := b[:min(len(b), callerWriteSize)]
		w.beginWrite()
		n, err := w.ResponseWriter.Write(piece)
		w.endWrite()
		written += n
		if err != nil {
			return written, w.fail(err)
		}
		b = b[len(piece):]
	}
	return written, nil
}

// FlushError sends what was written, within the limit.
func (w *callerWriter) FlushError() error {
	w.beginWrite()
	defer w.endWrite()
	return w.fail(w.rc.Flush())
}

// beginWrite starts the limit of one write.
func (w *callerWriter) beginWrite() {
	w.extend()
	if w.queued == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing, w.lastQueued = true, -1
	if w.timer == nil {
		w.timer = time.AfterFunc(progressInterval, w.checkProgress)
	} else {
		w.timer.Reset(progressInterval)
	}
}

func (w *callerWriter) endWrite() {
	if w.queued == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	w.timer.Stop()
}

// checkProgress renews the limit of a write that waits if the caller has taken bytes since the last check.
func (w *callerWriter) checkProgress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.writing {
		return
	}
	n, ok := w.queued()
	if !ok {
		return
	}
	if w.lastQueued >= 0 && n != w.lastQueued {
		w.extend()
	}
	w.lastQueued = n
	w.timer.Reset(progressInterval)
}

// extend lets the next write wait for callerStall. A connection without deadlines has no limit.
func (w *callerWriter) extend() { _ = w.rc.SetWriteDeadline(time.Now().Add(callerStall)) }

// fail reports a caller that was cut off, and returns err.
func (w *callerWriter) fail(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && !w.failed {
		w.failed = true
		w.stalled()
	}
	return err
}

// queuedBytes returns a function that returns the bytes that the kernel holds for the caller, sent or
// not; nil if the request's connection isn't known, so that a caller may be cut off that takes its answer slowly.
func queuedBytes(r *http.Request) func() (int, bool) {
	tcp, ok := listen.TCP(listen.Conn(r))
	if !ok {
		return nil
	}
	return func() (n int, ok bool) {
		raw, err := tcp.SyscallConn()
		if err != nil {
			return 0, false
		}
		err = raw.Control(func(fd uintptr) {
			var ierr error
			n, ierr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			ok = ierr == nil
		})
		return n, ok && err == nil
	}
}
