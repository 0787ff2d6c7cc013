//go:build review

package main

import "sync/atomic"

// window is a span of time that is open or closed.
type window struct{ state atomic.Bool }

func (w *window) open()        { w.state.Store(true) }
func (w *window) close()       { w.state.Store(false) }
func (w *window) isOpen() bool { return w.state.Load() }
