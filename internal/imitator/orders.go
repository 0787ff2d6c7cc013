package imitator

import (
	"net/http"
	"slices"
	"strconv"
)

// The path for orders, and the header with the fencing number.
const (
	ordersPath          = "/v1/orders"
	headerFencingNumber = "Boragehead-Fencing-Number"
)

// Orders returns the bodies of all accepted orders, in the order of their arrival.
func (s *Server) Orders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

func (s *Server) takeOrder(w http.ResponseWriter, r *http.Request, body []byte) {
	number, err := strconv.ParseUint(r.Header.Get(headerFencingNumber), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ChecksFencing && number < s.highestFencingNumber {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.highestFencingNumber = max(s.highestFencingNumber, number)
	s.orders = append(s.orders, string(body))
	w.WriteHeader(http.StatusNoContent)
}
