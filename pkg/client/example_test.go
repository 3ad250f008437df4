package client_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/tamarackswitch/tamarackswitch/pkg/client"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Guards against a documented use of the package that does not compile.
func ExampleClient_Do() {
	c := client.New(client.Config{
		Seeds: []string{"10.1.0.11:7000", "10.2.0.11:7000"},
		Group: "school-12",
	})
	order := client.Request{
		Method: http.MethodPost, Path: "/orders", Route: "orders", Body: []byte("kit 7"),
		Deadline: 3 * time.Second, Key: client.NewKey,
	}
	answer, err := c.Do(context.Background(), order)
	if err == nil {
		fmt.Println("recorded:", answer.Status, string(answer.Body))
		return
	}
	refusal := result.From(err)
	switch refusal.Run {
	case result.NotRun:
		fmt.Println("not recorded, may be sent again after", refusal.RetryAfter)
	case result.Run:
		fmt.Println("recorded, but the answer is lost")
	case result.Unknown:
		fmt.Println("ask the order service before ordering again")
	}
}
