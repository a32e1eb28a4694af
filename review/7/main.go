// Command 7 shows that requests get no answer when the node that serves them for another one is
// killed while their bodies are on the way to it.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"goldcrestwick/review/rig2"
)

const (
	routeTimeout = 2 * time.Second
	// answerMargin is the time after the route's timeout by which the rule wants an answer.
	answerMargin  = 500 * time.Millisecond
	clientTimeout = 4 * time.Second
	bodyBytes     = 128 << 10
	sendInterval  = 15 * time.Millisecond
	work          = 20 * time.Millisecond
	lookupWork    = 300 * time.Millisecond
	// The runners of the service lookup crash at crashAt, while they run readCount requests, and
	// the second node is killed at killAt and started again at startAt.
	readAt, crashAt, killAt, startAt, endAt = 3900 * time.Millisecond, 4 * time.Second, 5 * time.Second, 8500 * time.Millisecond, 16 * time.Second
	readCount, readInterval                 = 12, 5 * time.Millisecond
	// minLasting and lastingDivisor are the rule's figures: eight or more, and over a quarter.
	minLasting, lastingDivisor = 8, 4
)

func main() {
	held, err := run(os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case !held:
		os.Exit(1)
	}
}

func run(hasTrouble bool) (held bool, err error) {
	d, err := rig2.Start(os.Args[1], rig2.Settings(routeTimeout))
	if err != nil {
		return false, err
	}
	defer d.Close()
	var lookups []*rig2.Runner
	for service, count := range map[string]int{"claims": 3, "lookup": 6} {
		for i := range count {
			r, err := d.AddRunner(fmt.Sprintf("i-%s-%d", service, i), service, work)
			if err != nil {
				return false, err
			}
			if service == "lookup" {
				r.Work = lookupWork
				lookups = append(lookups, r)
			}
		}
	}
	var nodes []*rig2.Node
	for i := range 3 {
		n, err := d.StartNode(fmt.Sprint("front-", i+1))
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	if err := d.AwaitReady(20 * time.Second); err != nil {
		return false, err
	}
	answers := send(d, nodes, lookups, hasTrouble)
	served, lasting, late := 0, 0, 0
	for _, a := range answers {
		if a.Status == http.StatusOK {
			served++
		}
		if a.Took < routeTimeout {
			continue
		}
		lasting++
		if a.Status == 0 || a.Took > routeTimeout+answerMargin {
			late++
		}
	}
	isBroken := late >= minLasting && late*lastingDivisor > lasting
	d.Record("%d claims, %d served; %d lasted longer than the route's timeout, %d of them had no final answer %s after it", len(answers), served, lasting, late, answerMargin)
	d.Record("rule CONFIG broken: %t", isBroken)
	fmt.Printf("%d claims, %d served, %d beyond the timeout, %d of them without an answer in time, broken: %t\n", len(answers), served, lasting, late, isBroken)
	if served*2 < len(answers) {
		return false, fmt.Errorf("only %d of %d claims were served", served, len(answers))
	}
	return !isBroken, nil
}

// send sends claims to the first node until endAt, and brings the disruptions about.
func send(d *rig2.Deployment, nodes []*rig2.Node, lookups []*rig2.Runner, hasTrouble bool) []rig2.Answer {
	var mu sync.Mutex
	var answers []rig2.Answer
	var tasks sync.WaitGroup
	began := time.Now()
	if hasTrouble {
		tasks.Go(func() {
			time.Sleep(crashAt)
			for _, r := range lookups {
				r.Crash()
			}
			time.Sleep(time.Until(began.Add(killAt)))
			d.Record("front-2 is killed")
			nodes[1].Kill()
			time.Sleep(time.Until(began.Add(startAt)))
			if err := nodes[1].Start(); err != nil {
				d.Record("front-2 was not started: %v", err)
			}
		})
	}
	for i := range readCount {
		tasks.Go(func() {
			time.Sleep(readAt + time.Duration(i)*readInterval)
			d.Send(nodes[0], rig2.Request{Attempt: fmt.Sprintf("%016x", 1<<32+i), Method: http.MethodGet, Path: "/read/x", Timeout: time.Second})
		})
	}
	body := make([]byte, bodyBytes)
	for i := 0; time.Since(began) < endAt; i++ {
		tasks.Go(func() {
			a := d.Send(nodes[0], rig2.Request{Attempt: fmt.Sprintf("%016x", i+1), Method: http.MethodPost, Path: "/claim/x", Body: body, Timeout: clientTimeout})
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * sendInterval)))
	}
	tasks.Wait()
	return answers
}
