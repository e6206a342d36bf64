"""Typed messages into and out of the decision core.

Inbound messages come from the adapters, outbound ones are effects that the
adapters carry out, and peer messages travel between daemons. All times are
seconds; a field that ends in ``_s`` is a duration, so no message carries one
process's monotonic clock to another.
"""

from primrosereel.core._effects import AbortCaller
from primrosereel.core._effects import AnswerPlain
from primrosereel.core._effects import CallPlain
from primrosereel.core._effects import CancelUpstream
from primrosereel.core._effects import Count
from primrosereel.core._effects import DrainFinished
from primrosereel.core._effects import FinishCaller
from primrosereel.core._effects import GiveOrder
from primrosereel.core._effects import ListRequests
from primrosereel.core._effects import PauseUpstream
from primrosereel.core._effects import PollCacheEvents
from primrosereel.core._effects import PollLoad
from primrosereel.core._effects import ReadInstanceList
from primrosereel.core._effects import ReadRunnerState
from primrosereel.core._effects import ReattachStream
from primrosereel.core._effects import RefuseCaller
from primrosereel.core._effects import ResumeUpstream
from primrosereel.core._effects import SendPeer
from primrosereel.core._effects import SendTokens
from primrosereel.core._effects import StartDecode
from primrosereel.core._effects import StartPrefill
from primrosereel.core._effects import WatchConfiguration
from primrosereel.core._inputs import CacheEventsReceived
from primrosereel.core._inputs import CallerLeft
from primrosereel.core._inputs import CancelConfirmed
from primrosereel.core._inputs import CancelFailed
from primrosereel.core._inputs import CompletionReceived
from primrosereel.core._inputs import ConfigurationFailed
from primrosereel.core._inputs import ConfigurationRead
from primrosereel.core._inputs import ConfigurationUnchanged
from primrosereel.core._inputs import DrainRequested
from primrosereel.core._inputs import FromPeer
from primrosereel.core._inputs import InstanceListRead
from primrosereel.core._inputs import LoadFailed
from primrosereel.core._inputs import LoadReported
from primrosereel.core._inputs import OrderAnswered
from primrosereel.core._inputs import PeerFailed
from primrosereel.core._inputs import PlainAnswered
from primrosereel.core._inputs import PlainFailed
from primrosereel.core._inputs import PlainReceived
from primrosereel.core._inputs import PrefillDone
from primrosereel.core._inputs import PrefillFailed
from primrosereel.core._inputs import RequestsListed
from primrosereel.core._inputs import RunnerStateRead
from primrosereel.core._inputs import StreamClosed
from primrosereel.core._inputs import StreamPaused
from primrosereel.core._inputs import StreamResumed
from primrosereel.core._inputs import TextChanged
from primrosereel.core._inputs import TokensReceived
from primrosereel.core._message_values import KvTransfer
from primrosereel.core._message_values import ListedInstance
from primrosereel.core._message_values import LiveGrant
from primrosereel.core._message_values import LoadReport
from primrosereel.core._message_values import Message
from primrosereel.core._message_values import PeerMessage
from primrosereel.core._peer_messages import ClaimOutcome
from primrosereel.core._peer_messages import ClaimReply
from primrosereel.core._peer_messages import ClaimRequest
from primrosereel.core._peer_messages import ClaimWithdrawn
from primrosereel.core._peer_messages import DemandReport
from primrosereel.core._peer_messages import Grant
from primrosereel.core._peer_messages import GrantQueued
from primrosereel.core._peer_messages import GrantRefused
from primrosereel.core._peer_messages import GrantRequest
from primrosereel.core._peer_messages import Heartbeat
from primrosereel.core._peer_messages import HolderQuery
from primrosereel.core._peer_messages import HolderReply
from primrosereel.core._peer_messages import ListingQuery
from primrosereel.core._peer_messages import ListingUpdate
from primrosereel.core._peer_messages import LiveGrants
from primrosereel.core._peer_messages import LiveGrantsQuery
from primrosereel.core._peer_messages import PauseStream
from primrosereel.core._peer_messages import Progress
from primrosereel.core._peer_messages import ResumeStream
from primrosereel.core._peer_messages import ShareReply
from primrosereel.core._peer_messages import TextDifference
from primrosereel.core._peer_messages import TextFull
from primrosereel.core._peer_messages import TextQuery

__all__ = [
    'AbortCaller',
    'AnswerPlain',
    'CacheEventsReceived',
    'CallerLeft',
    'CallPlain',
    'CancelConfirmed',
    'CancelFailed',
    'CancelUpstream',
    'ClaimOutcome',
    'ClaimReply',
    'ClaimRequest',
    'ClaimWithdrawn',
    'CompletionReceived',
    'ConfigurationFailed',
    'ConfigurationRead',
    'ConfigurationUnchanged',
    'Count',
    'DemandReport',
    'DrainFinished',
    'DrainRequested',
    'FinishCaller',
    'FromPeer',
    'GiveOrder',
    'Grant',
    'GrantQueued',
    'GrantRefused',
    'GrantRequest',
    'Heartbeat',
    'HolderQuery',
    'HolderReply',
    'Inbound',
    'InstanceListRead',
    'KvTransfer',
    'ListedInstance',
    'ListingQuery',
    'ListingUpdate',
    'ListRequests',
    'LiveGrant',
    'LiveGrants',
    'LiveGrantsQuery',
    'LoadFailed',
    'LoadReport',
    'LoadReported',
    'Message',
    'OrderAnswered',
    'Outbound',
    'PauseStream',
    'PauseUpstream',
    'PeerFailed',
    'PeerMessage',
    'PlainAnswered',
    'PlainFailed',
    'PlainReceived',
    'PollCacheEvents',
    'PollLoad',
    'PrefillDone',
    'PrefillFailed',
    'Progress',
    'ReadInstanceList',
    'ReadRunnerState',
    'ReattachStream',
    'RefuseCaller',
    'RequestsListed',
    'ResumeStream',
    'ResumeUpstream',
    'RunnerStateRead',
    'SendPeer',
    'SendTokens',
    'ShareReply',
    'StartDecode',
    'StartPrefill',
    'StreamClosed',
    'StreamPaused',
    'StreamResumed',
    'TextChanged',
    'TextDifference',
    'TextFull',
    'TextQuery',
    'TokensReceived',
    'WatchConfiguration',
]

Inbound = Message
Outbound = Message
