package imitator

import (
	"net/http"
	"slices"
	"strconv"
)

// How a stand-in takes orders: the path and the header of the fencing number.
const (
	ordersPath   = "/v1/orders"
	headerNumber = "Boragehead-Fencing-Number"
)

// Orders returns the orders that were obeyed, in order.
func (s *Server) Orders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

func (s *Server) takeOrder(w http.ResponseWriter, r *http.Request, body []byte) {
	number, err := strconv.ParseUint(r.Header.Get(headerNumber), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ChecksFencing && number < s.newest {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.newest = max(s.newest, number)
	s.orders = append(s.orders, string(body))
	w.WriteHeader(http.StatusNoContent)
}
