package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
)

// remoteInstanceURL is the URL of an entry instance outside the workspace's home
// region.
const remoteInstanceURL = "http://127.0.12.15:7001"

const expectedInstances = 7

func (f *fleet) foundKeepers(ctx context.Context) error {
	return retry(ctx, func() error { return f.client(ctx, "keepers", "found") })
}

func (f *fleet) applyTables(ctx context.Context) error {
	tables := filepath.Join(f.example, "tables.yaml")
	return retry(ctx, func() error {
		return f.client(ctx, "tables", "apply", "--expect-revision", "0", "--change-id", "first", tables)
	})
}

// fleetStatus holds the fields of the status that the demonstration waits for.
type fleetStatus struct {
	Revision  int `json:"revision"`
	Instances []struct {
		Revision int `json:"revision"`
		Pools    []struct {
			Servers int `json:"servers"`
		} `json:"pools"`
	} `json:"instances"`
}

func (f *fleet) awaitReady(ctx context.Context) error {
	return retry(ctx, func() error {
		var status fleetStatus
		if err := f.clientJSON(ctx, &status, "status"); err != nil {
			return err
		}
		ready := 0
		for _, instance := range status.Instances {
			if instance.Revision == status.Revision && len(instance.Pools) > 0 {
				ready++
			}
		}
		if ready < expectedInstances {
			return fmt.Errorf("%d of %d instances are ready", ready, expectedInstances)
		}
		fmt.Printf("all %d instances have revision %d in force\n", ready, status.Revision)
		return nil
	})
}

func (f *fleet) giveKey(ctx context.Context) error {
	var key struct {
		ID     string `json:"id"`
		Secret string `json:"secret"`
	}
	if err := f.clientJSON(ctx, &key, "keys", "give", "penang-workshops"); err != nil {
		return err
	}
	f.keyID, f.secret = key.ID, key.Secret
	fmt.Println("key", key.ID)
	return nil
}

func (f *fleet) askDirectory(ctx context.Context) error {
	var directory struct {
		Instances []struct {
			Name   string `json:"name"`
			URL    string `json:"url"`
			Region string `json:"region"`
		} `json:"instances"`
	}
	return retry(ctx, func() error {
		response, err := f.request(ctx, http.MethodGet, remoteInstanceURL+"/v1/instances", "", nil)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", response.StatusCode)
		}
		if err := json.NewDecoder(response.Body).Decode(&directory); err != nil {
			return err
		}
		for _, instance := range directory.Instances {
			fmt.Printf("%s in %s at %s\n", instance.Name, instance.Region, instance.URL)
		}
		f.instanceURL = directory.Instances[0].URL
		return nil
	})
}

const completionBody = `{"model":"drafter","stream":true,"max_tokens":12,"messages":[` +
	`{"role":"system","content":"You draft deposit disputes for a cylinder rental co-op."},` +
	`{"role":"user","content":"Cylinder 4471 came back empty but undamaged. Draft a reply."}]}`

func (f *fleet) streamAnswer(ctx context.Context) error {
	return retry(ctx, func() error {
		response, err := f.request(ctx, http.MethodPost, f.instanceURL+"/v1/chat/completions", completionBody, nil)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return statusError(response)
		}
		return printStream(response.Body)
	})
}

func printStream(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		fmt.Println(data)
		if data == "[DONE]" {
			return nil
		}
	}
	return errors.New("stream ended without a [DONE] event")
}

func (f *fleet) bookTwice(ctx context.Context) error {
	header := http.Header{"Idempotency-Key": {"swap-2291"}}
	var first string
	for range 2 {
		response, err := f.request(ctx, http.MethodPost, f.instanceURL+"/swaps/utara", `{"cylinder":4471,"gas":"argon"}`, header)
		if err != nil {
			return err
		}
		if response.StatusCode != http.StatusOK {
			return statusError(response)
		}
		text, err := io.ReadAll(response.Body)
		if err := errors.Join(err, response.Body.Close()); err != nil {
			return err
		}
		fmt.Printf("%s replayed=%q\n", text, response.Header.Get("Idempotency-Replayed"))
		if first != "" && first != string(text) {
			return errors.New("the swap was booked twice")
		}
		first = string(text)
	}
	return nil
}

func (f *fleet) withdrawKey(ctx context.Context) error {
	if err := f.client(ctx, "keys", "withdraw", f.keyID); err != nil {
		return err
	}
	response, err := f.request(ctx, http.MethodPost, f.instanceURL+"/v1/chat/completions", completionBody, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusUnauthorized {
		return fmt.Errorf("a withdrawn key got status %d", response.StatusCode)
	}
	fmt.Println(statusError(response))
	return nil
}

func (f *fleet) status(ctx context.Context) error {
	return f.client(ctx, "status")
}

func (f *fleet) burnReport(ctx context.Context) error {
	return f.client(ctx, "report", "burn")
}

func (f *fleet) request(ctx context.Context, method, url, body string, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+f.secret)
	request.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(request)
}

func statusError(response *http.Response) error {
	text, _ := io.ReadAll(response.Body)
	return fmt.Errorf("status %d, outcome %s: %s", response.StatusCode, response.Header.Get("Boragehead-Outcome"), strings.TrimSpace(string(text)))
}
