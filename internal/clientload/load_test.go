package clientload

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// writeTimeout ends the write of a client whose server reads no more.
const writeTimeout = 3 * time.Second

// load is a number of clients that each send the same bytes and then stay connected.
type load struct {
	address string
	clients int
	// pieces are sent one after the other, repeat times.
	pieces [][]byte
	repeat int
}

// run returns when each client has sent all or can't send more. The connections stay open
// until the end of the test.
func run(t *testing.T, loads ...load) {
	t.Helper()
	var clients sync.WaitGroup
	for _, l := range loads {
		for range l.clients {
			clients.Go(func() { l.send(t) })
		}
	}
	clients.Wait()
}

func (l *load) send(t *testing.T) {
	c, err := net.DialTimeout("tcp", l.address, writeTimeout)
	if err != nil {
		return
	}
	t.Cleanup(func() { _ = c.Close() })
	for range l.repeat {
		for _, piece := range l.pieces {
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.Write(piece); err != nil {
				return
			}
		}
	}
}

func post(path, header string) []byte {
	return []byte("POST " + path + " HTTP/1.1\r\nHost: maps\r\n" + header + "\r\n\r\n")
}

// chunks returns the chunks of a body of a size, without its end.
func chunks(chunk, size int) []byte {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat(" ", chunk))
	return bytes.Repeat([]byte(one), size/chunk)
}

// unendedChunks are bodies just below the limit, in large chunks, that never end.
func unendedChunks(address, path string) load {
	return load{address, 320, [][]byte{post(path, "Transfer-Encoding: chunked"), chunks(25_000, 250_000)}, 1}
}

// smallChunks are bodies in chunks of 4 bytes that never end.
func smallChunks(address, path string) load {
	return load{address, 250, [][]byte{post(path, "Transfer-Encoding: chunked"), chunks(4, 120_000)}, 1}
}

// announced are bodies far over the limit, whose clients send on.
func announced(address, path string) load {
	pieces := [][]byte{post(path, "Content-Length: 1000000000")}
	for range 60 {
		pieces = append(pieces, bytes.Repeat([]byte(" "), 32<<10))
	}
	return load{address, 200, pieces, 1}
}

// pipelined are many requests without a Host, whose answers are not read.
func pipelined(address string) load {
	return load{address, 320, [][]byte{bytes.Repeat([]byte("GET / HTTP/1.1\r\n\r\n"), 4000)}, 8}
}

// pipelinedWithHost are the same with the usual header, so that each has an answer of its own.
func pipelinedWithHost(address, path string) load {
	return load{address, 320, [][]byte{bytes.Repeat([]byte("GET "+path+" HTTP/1.1\r\nHost: maps\r\n\r\n"), 1000)}, 8}
}

// unendedHeaders are requests whose header never ends.
func unendedHeaders(address string) load {
	return load{address, 200, [][]byte{[]byte("GET / HTTP/1.1\r\nHost: maps\r\n"), bytes.Repeat([]byte("X-Long: "+strings.Repeat("x", 1000)+"\r\n"), 15)}, 40}
}

// unendedMessages are frames of a message between entry hosts that never ends.
func unendedMessages(address string) load {
	// The frame is of a message of stream 1; its length of 8 MB is never reached.
	frame := []byte{0x02, 1, 1, 0x80, 0x80, 0x80, 0x04}
	pieces := [][]byte{frame}
	for range 32 {
		pieces = append(pieces, make([]byte, 32<<10))
	}
	return load{address, 150, pieces, 1}
}
