package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// load sends requests to all nodes in turn at a steady rate until ctx is done, and waits for their
// answers. Half of them claim something and must not run twice; the others read.
func (w *world) load(ctx context.Context, perSecond int) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n := w.nodes[i%len(w.nodes)]
		open.Go(func() { w.send(client, n, i) })
	}
}

func (w *world) send(client *http.Client, n *node, i int) {
	id := fmt.Sprintf("%016x", i+1)
	method, path, body := http.MethodGet, fmt.Sprintf("/read/%d", i), []byte(nil)
	if i/len(w.nodes)%2 == 0 {
		method, path, body = http.MethodPost, fmt.Sprintf("/claim/%d", i), bytes.Repeat([]byte("c"), 600)
	}
	req, err := http.NewRequest(method, "http://"+n.callers+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the address is a valid one.
	}
	req.Host = "rig.example"
	req.Header.Set("Goldcrestwick-Attempt-Id", id)
	req.Header.Set("Goldcrestwick-Deadline-Ms", "4000")
	req.Header.Set("X-Api-Key", "rig-key")
	w.note("client sends %s %s %s to %s", id, method, path, n.name)
	resp, err := client.Do(req)
	if err != nil {
		w.note("client has no answer to %s: %v", id, err)
		return
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read.
	_, err = io.Copy(io.Discard, resp.Body)
	w.note("client gets %d to %s, signature %q, body error %v", resp.StatusCode, id, resp.Header.Get("Goldcrestwick-Server-Stamp"), err)
}
