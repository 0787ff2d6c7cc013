//go:build review2

package main

import (
	"net"
	"strconv"
	"time"
)

// regionDelay is the time between regions, one way.
const regionDelay = 55 * time.Millisecond

// delayTo returns an address at which the peer port of a process is reached with the delay
// between regions.
func (f *fleet) delayTo(p *process) (string, error) {
	ip := f.newIP()
	port := strconv.Itoa(portInternal)
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, port))
	if err != nil {
		return "", err
	}
	f.listeners = append(f.listeners, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go forwardDelayed(conn, net.JoinHostPort(p.ip, port))
		}
	}()
	return ip, nil
}

func forwardDelayed(conn net.Conn, to string) {
	time.Sleep(2 * regionDelay) // the handshake
	other, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		_ = conn.Close()
		return
	}
	go copyDelayed(other, conn)
	copyDelayed(conn, other)
}

// copyDelayed copies what comes, each piece with the delay.
func copyDelayed(to, from net.Conn) {
	type piece struct {
		data []byte
		due  time.Time
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{append([]byte(nil), buffer[:n]...), time.Now().Add(regionDelay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	_, _ = to.Close(), from.Close()
}
