package io.camphordrum.daemon

import io.camphordrum.core.CoreEffect
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Member
import io.camphordrum.wire.Hello
import io.camphordrum.wire.PeerEvents
import io.camphordrum.wire.PeerMessage
import io.camphordrum.wire.PeerNetwork
import io.camphordrum.wire.PeerSettings
import io.github.oshai.kotlinlogging.KotlinLogging

private val log = KotlinLogging.logger {}

/** Exchanges messages with the other daemons. */
class PeersPlugin : Plugin {
    override val name = "peers"
    override val order = 10
    private lateinit var kernel: Kernel
    private lateinit var network: PeerNetwork

    override fun start(kernel: Kernel) {
        this.kernel = kernel
        val listen = kernel.settings.peers
        val settings = PeerSettings(listen.host, listen.port, seed = kernel.self.incarnation)
        val events = PeerEvents(::received, ::up, ::down, ::fault)
        network = PeerNetwork(kernel.self, kernel.dataCentre, settings, events)
        network.start()
        kernel.ports.peer = ::send
        kernel.ports.notices += { if (it is CoreEffect.ClosePeer) network.disconnect(it.address) }
    }

    override fun stop() = network.stop()

    private fun send(effect: CoreEffect.Send) {
        val message = when (effect) {
            is CoreEffect.SendMembership -> PeerMessage.Membership(effect.message)
            is CoreEffect.SendShare -> PeerMessage.Share(effect.message)
            is CoreEffect.SendTicket -> PeerMessage.Ticket(effect.message)
            is CoreEffect.SendConfig -> PeerMessage.Config(effect.message)
            is CoreEffect.SendResidency -> PeerMessage.Residency(effect.message)
        }
        network.send(effect.address, message)
    }

    // A full ring drops the message: every exchange between peers tolerates loss.
    private fun received(from: Member, dataCentre: DataCentreId, message: PeerMessage) {
        kernel.decide { core, now ->
            when (message) {
                is PeerMessage.Membership ->
                    if (dataCentre == kernel.dataCentre) core.receive(now, from, message.message) else emptyList()
                is PeerMessage.Share -> core.receive(now, from, message.message)
                is PeerMessage.Ticket -> core.receive(now, from, message.message)
                is PeerMessage.Config -> core.receive(now, from, message.message)
                is PeerMessage.Residency -> core.receive(now, from, message.message)
                // Daemons of the serving path are a fleet of their own and never meet this one.
                is PeerMessage.Serving, is Hello -> emptyList()
            }
        }
    }

    private fun up(peer: Hello) {
        kernel.decideSurely { core, _ -> core.peerUp(peer.member, peer.peerAddress) }
        log.info { "peer_up ${peer.member} ${peer.peerAddress}" }
    }

    private fun down(peer: Hello, reason: String) {
        kernel.decideSurely { core, now -> core.peerDown(now, peer.peerAddress) }
        log.info { "peer_down ${peer.member} reason=$reason" }
    }

    private fun fault(remote: String, reason: String) {
        kernel.decideSurely { core, now -> core.peerDown(now, remote) }
        log.debug { "peer_fault $remote reason=$reason" }
    }
}
