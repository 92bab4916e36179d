package amqp

// Key identifies a method by its class ID (upper 16 bits) and its method ID (lower 16 bits).
type Key uint32

// methodKey returns the Key of a class ID and a method ID.
func methodKey(class, method uint32) Key { return Key(class<<16 | method) }

// Class returns the class ID.
func (k Key) Class() uint16 { return uint16(k >> 16) }

// ID returns the method ID, which is unique within the class.
func (k Key) ID() uint16 { return uint16(k) }

// The known methods.
const (
	ConnStart          = Key(10<<16 | 10)
	ConnStartOk        = Key(10<<16 | 11)
	ConnTune           = Key(10<<16 | 30)
	ConnTuneOk         = Key(10<<16 | 31)
	ConnOpen           = Key(10<<16 | 40)
	ConnOpenOk         = Key(10<<16 | 41)
	ConnClose          = Key(10<<16 | 50)
	ConnCloseOk        = Key(10<<16 | 51)
	ConnBlocked        = Key(10<<16 | 60)
	ConnUnblocked      = Key(10<<16 | 61)
	ConnSecure         = Key(10<<16 | 20)
	ConnSecureOk       = Key(10<<16 | 21)
	ConnUpdateSecret   = Key(10<<16 | 70)
	ConnUpdateSecretOk = Key(10<<16 | 71)
	ChanOpen           = Key(20<<16 | 10)
	ChanOpenOk         = Key(20<<16 | 11)
	ChanFlow           = Key(20<<16 | 20)
	ChanFlowOk         = Key(20<<16 | 21)
	ChanClose          = Key(20<<16 | 40)
	ChanCloseOk        = Key(20<<16 | 41)
	ExchangeDeclare    = Key(40<<16 | 10)
	ExchangeDeclareOk  = Key(40<<16 | 11)
	ExchangeDelete     = Key(40<<16 | 20)
	ExchangeDeleteOk   = Key(40<<16 | 21)
	ExchangeBind       = Key(40<<16 | 30)
	ExchangeBindOk     = Key(40<<16 | 31)
	ExchangeUnbind     = Key(40<<16 | 40)
	ExchangeUnbindOk   = Key(40<<16 | 51)
	QueueDeclare       = Key(50<<16 | 10)
	QueueDeclareOk     = Key(50<<16 | 11)
	QueueBind          = Key(50<<16 | 20)
	QueueBindOk        = Key(50<<16 | 21)
	QueuePurge         = Key(50<<16 | 30)
	QueuePurgeOk       = Key(50<<16 | 31)
	QueueDelete        = Key(50<<16 | 40)
	QueueDeleteOk      = Key(50<<16 | 41)
	QueueUnbind        = Key(50<<16 | 50)
	QueueUnbindOk      = Key(50<<16 | 51)
	Qos                = Key(60<<16 | 10)
	QosOk              = Key(60<<16 | 11)
	Consume            = Key(60<<16 | 20)
	ConsumeOk          = Key(60<<16 | 21)
	Cancel             = Key(60<<16 | 30)
	CancelOk           = Key(60<<16 | 31)
	Publish            = Key(60<<16 | 40)
	Return             = Key(60<<16 | 50)
	Deliver            = Key(60<<16 | 60)
	Get                = Key(60<<16 | 70)
	GetOk              = Key(60<<16 | 71)
	GetEmpty           = Key(60<<16 | 72)
	Ack                = Key(60<<16 | 80)
	Reject             = Key(60<<16 | 90)
	Nack               = Key(60<<16 | 120)
	ConfirmSelect      = Key(85<<16 | 10)
	ConfirmSelectOk    = Key(85<<16 | 11)
	RecoverAsync       = Key(60<<16 | 100)
	Recover            = Key(60<<16 | 110)
	RecoverOk          = Key(60<<16 | 111)
	TxSelect           = Key(90<<16 | 10)
	TxSelectOk         = Key(90<<16 | 11)
	TxCommit           = Key(90<<16 | 20)
	TxCommitOk         = Key(90<<16 | 21)
	TxRollback         = Key(90<<16 | 30)
	TxRollbackOk       = Key(90<<16 | 31)
)

// hasContent reports whether a content header and a body follow the method.
func hasContent(k Key) bool {
	spec, ok := specs[k]
	return ok && spec.Content
}
