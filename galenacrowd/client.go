package galenacrowd

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Host is the host that the clients name in their requests.
const Host = "shop.example"

const (
	// fillerBytes is how much filler is written at a time, and chunkBytes the length of a chunk.
	fillerBytes = 64 << 10
	chunkBytes  = 32 << 10
	// answerTimeout is how long a client waits for an answer.
	answerTimeout = 10 * time.Second
)

// Announced announces a body, and sends all of it but the last unsent bytes.
func Announced(path string, length, unsent int) Client {
	return func(conn net.Conn) error {
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", path, Host, length)
		if _, err := io.WriteString(conn, head); err != nil {
			return err
		}
		return sendFiller(conn, length-unsent)
	}
}

// sendFiller sends n bytes that are no end of anything.
func sendFiller(conn net.Conn, n int) error {
	filler := bytes.Repeat([]byte(" "), fillerBytes)
	for n > 0 {
		sent, err := conn.Write(filler[:min(n, len(filler))])
		if err != nil {
			return err
		}
		n -= sent
	}
	return nil
}

// Chunked sends a body in chunks, of which none is the last.
func Chunked(path string, length int) Client {
	return func(conn net.Conn) error {
		head := "POST " + path + " HTTP/1.1\r\nHost: " + Host + "\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
		if _, err := io.WriteString(conn, head); err != nil {
			return err
		}
		for sent := 0; sent < length; sent += chunkBytes {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", chunkBytes, strings.Repeat(" ", chunkBytes)); err != nil {
				return err
			}
		}
		return nil
	}
}

// ByteByByte announces a body and sends its first n bytes one by one.
func ByteByByte(path string, length, n int) Client {
	return func(conn net.Conn) error {
		if err := Announced(path, length, length)(conn); err != nil {
			return err
		}
		for range n {
			if err := sendFiller(conn, 1); err != nil {
				return err
			}
		}
		return nil
	}
}

// EndlessHeaders sends header fields of n bytes in all, of which none is the last.
func EndlessHeaders(n int) Client {
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, "GET /q/a HTTP/1.1\r\nHost: "+Host+"\r\n"); err != nil {
			return err
		}
		for sent := 0; sent < n; sent += 1024 {
			if _, err := fmt.Fprintf(conn, "X-%d: %s\r\n", sent, strings.Repeat("x", 1000)); err != nil {
				return err
			}
		}
		return nil
	}
}

// Silent says nothing.
func Silent(net.Conn) error { return nil }

// Unread sends n requests without reading the answers.
func Unread(path string, n int) Client {
	return Repeated("GET "+path+" HTTP/1.1\r\nHost: "+Host+"\r\n\r\n", n)
}

// Repeated sends a message n times without reading anything.
func Repeated(message string, n int) Client {
	return func(conn net.Conn) error {
		for range n {
			if _, err := io.WriteString(conn, message); err != nil {
				return err
			}
		}
		return nil
	}
}

// Complete sends n complete requests one after the other, and reads the answer to each before the
// next. next returns a request, and seen gets the status and the Retry-After header of its answer.
// next and seen are called by all clients of a crowd at once. seen may be nil.
func Complete(n int, next func() string, seen func(status int, retryAfter string)) Client {
	return func(conn net.Conn) error {
		if err := conn.SetDeadline(time.Now().Add(time.Duration(n) * answerTimeout)); err != nil {
			return err
		}
		r := bufio.NewReader(conn)
		for range n {
			if _, err := io.WriteString(conn, next()); err != nil {
				return err
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return err
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
			_ = resp.Body.Close()
			if seen != nil {
				seen(resp.StatusCode, resp.Header.Get("Retry-After"))
			}
			if resp.Close {
				return nil
			}
		}
		return nil
	}
}

// Request returns a complete HTTP request. header holds further header lines, each with its end.
func Request(method, path, header, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n%s", method, path, Host, header, len(body), body)
}

// LongFrame announces a message to a daemon, and sends a part of it.
func LongFrame(length uint64, send int) Client {
	return func(conn net.Conn) error {
		if _, err := conn.Write(binary.AppendUvarint(nil, length)); err != nil {
			return err
		}
		return sendFiller(conn, send)
	}
}

// Frame returns a complete message to a daemon.
func Frame(data string) string {
	return string(binary.AppendUvarint(nil, uint64(len(data)))) + data
}
