package load

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	amqp091 "github.com/rabbitmq/amqp091-go"
)

var errClosed = errors.New("the sender closed the connection or the channel")

// deliveredType is the AMQP type of a final answer that reports a delivery.
const deliveredType = "delivered"

// amqpClient is one active AMQP client. It is not safe for concurrent use.
type amqpClient struct {
	load         *activeLoad
	channel      *amqp091.Channel
	queue        string // receives the final answers
	confirms     <-chan amqp091.Confirmation
	finalAnswers <-chan amqp091.Delivery
}

// runAMQP publishes one message after another, and waits for each confirm and each final answer.
func (r *activeLoad) runAMQP(ctx context.Context) error {
	conn, err := amqp091.Dial("amqp://guest:guest@" + r.settings.Addr + "/")
	if err != nil {
		return fmt.Errorf("opening a connection: %w", err)
	}
	defer func() { _ = conn.Close() }()
	client, err := r.openAMQP(conn)
	if err != nil {
		return err
	}
	for {
		due, ok := r.nextDue(ctx)
		if !ok {
			return nil
		}
		if err := client.publish(ctx); err != nil {
			return err
		}
		if err := client.awaitFinalAnswer(ctx, due); err != nil {
			return err
		}
	}
}

func (r *activeLoad) openAMQP(conn *amqp091.Connection) (*amqpClient, error) {
	channel, err := conn.Channel()
	if err != nil {
		return nil, fmt.Errorf("opening a channel: %w", err)
	}
	if err := channel.Confirm(false); err != nil {
		return nil, fmt.Errorf("enabling publisher confirms: %w", err)
	}
	queue := "load-" + r.id()
	finalAnswers, err := channel.Consume(queue, "", false, false, false, false, nil)
	if err != nil {
		return nil, fmt.Errorf("consuming final answers: %w", err)
	}
	confirms := channel.NotifyPublish(make(chan amqp091.Confirmation, 1))
	return &amqpClient{load: r, channel: channel, queue: queue, confirms: confirms, finalAnswers: finalAnswers}, nil
}

func (c *amqpClient) publish(ctx context.Context) error {
	id, target := c.load.id(), c.load.settings
	publishing := amqp091.Publishing{
		MessageId: id, Type: target.Class, AppId: "load", ReplyTo: c.queue, CorrelationId: id,
		Expiration: "20000", Headers: amqp091.Table{"idempotency-key": id}, Body: c.load.body(),
	}
	key := strconv.FormatInt(target.Dest, 10)
	if err := c.channel.PublishWithContext(ctx, target.Exchange, key, false, false, publishing); err != nil {
		return fmt.Errorf("publishing: %w", err)
	}
	return nil
}

// awaitFinalAnswer waits until the message that was due at that time is rejected, or until both its confirm and its
// final answer have arrived. It also returns nil when ctx ends.
func (c *amqpClient) awaitFinalAnswer(ctx context.Context, due time.Time) error {
	for confirmed, answered := false, false; !confirmed || !answered; {
		seen := c.load.current.Load()
		select {
		case confirm, ok := <-c.confirms:
			if !ok {
				return errClosed
			}
			confirmed = true
			if confirm.Ack {
				seen.update(func() { seen.record(seen.accepted, due) })
			} else {
				answered = true
				seen.update(func() { seen.rejected++ })
			}
		case answer, ok := <-c.finalAnswers:
			if !ok {
				return errClosed
			}
			answered = true
			seen.recordFinalAnswer(answer.Type, due)
			if err := answer.Ack(false); err != nil {
				return fmt.Errorf("acknowledging a final answer: %w", err)
			}
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// recordFinalAnswer records the latency of a final answer and counts it by its type.
func (t *tally) recordFinalAnswer(answerType string, due time.Time) {
	t.update(func() {
		t.record(t.answered, due)
		if answerType == deliveredType {
			t.delivered++
		} else {
			t.returned++
		}
	})
}
