/*
 * The datagram that entry VMs exchange. It carries beliefs that go out of date within seconds, so a lost one is not
 * repeated. Labels instead of field names keep it in one packet.
 */
@file:OptIn(ExperimentalSerializationApi::class)

package org.pomeloladder.gateway

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.pomeloladder.configuration.Address
import org.pomeloladder.configuration.BackendServerId
import org.pomeloladder.configuration.FailureDomainId
import org.pomeloladder.configuration.RegionId
import org.pomeloladder.configuration.ServiceId
import org.pomeloladder.configuration.VmId
import org.pomeloladder.decisions.Incarnation

/** Who a VM is and where it is reached. */
@Serializable
data class PeerIdentity(
    @CborLabel(1) val vm: VmId,
    @CborLabel(2) val incarnation: Incarnation,
    @CborLabel(3) val region: RegionId,
    @CborLabel(4) val domain: FailureDomainId,
    @CborLabel(5) val callers: Address,
    @CborLabel(6) val gossip: Address,
    @CborLabel(7) val relay: Address,
)

/** Load that one VM put on one backend server of its region. */
@Serializable
data class ServerShare(
    @CborLabel(1) val server: BackendServerId,
    @CborLabel(2) val inFlight: Int,
    @CborLabel(3) val pendingPromptTokens: Long,
)

/** What a region has of a service. [waitMs] is the expected wait of a call that is placed best. */
@Serializable
data class ServiceLoad(
    @CborLabel(1) val service: ServiceId,
    @CborLabel(2) val places: Int,
    @CborLabel(3) val inUse: Int,
    @CborLabel(4) val waitMs: Long,
)

/** A shared part that was sent to a server. */
@Serializable
data class CachedPart(
    @CborLabel(1) val server: BackendServerId,
    @CborLabel(2) val part: PartId,
    @CborLabel(3) val tokens: Int,
)

/** One datagram. Times are milliseconds of the sender's steady clock, echoed for the round trip. */
@Serializable
data class GossipMessage(
    @CborLabel(1) val from: PeerIdentity,
    @CborLabel(2) val sentMs: Long,
    @CborLabel(3) val echoMs: Long = 0,
    @CborLabel(4) val echoHeldMs: Long = 0,
    @CborLabel(5) val isDraining: Boolean = false,
    @CborLabel(6) val isReady: Boolean = false,
    @CborLabel(7) val revision: Long = 0,
    @CborLabel(8) val shares: List<ServerShare> = emptyList(),
    @CborLabel(9) val services: List<ServiceLoad> = emptyList(),
    @CborLabel(10) val cached: List<CachedPart> = emptyList(),
    @CborLabel(11) val others: List<PeerAddress> = emptyList(),
)

/** A VM that the sender hears, for peers that do not know it yet. */
@Serializable
data class PeerAddress(@CborLabel(1) val vm: VmId, @CborLabel(2) val gossip: Address)
