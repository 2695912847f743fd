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
        val events = PeerEvents(::onMessage, ::onPeerUp, ::onPeerDown, ::onPeerFault)
        network = PeerNetwork(kernel.self, kernel.dataCentre, settings, events)
        network.start()
        kernel.ports.peerHandler = ::send
        kernel.ports.listeners += { if (it is CoreEffect.ClosePeer) network.disconnect(it.address) }
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

    // A full ring buffer drops the message: every protocol between peers tolerates message loss.
    private fun onMessage(from: Member, dataCentre: DataCentreId, message: PeerMessage) {
        kernel.tryExecute { core, now ->
            when (message) {
                is PeerMessage.Membership ->
                    if (dataCentre == kernel.dataCentre) core.receive(now, from, message.message) else emptyList()
                is PeerMessage.Share -> core.receive(now, from, message.message)
                is PeerMessage.Ticket -> core.receive(now, from, message.message)
                is PeerMessage.Config -> core.receive(now, from, message.message)
                is PeerMessage.Residency -> core.receive(now, from, message.message)
                // Daemons of the serving path form a separate fleet and do not connect to this one.
                is PeerMessage.Serving, is Hello -> emptyList()
            }
        }
    }

    private fun onPeerUp(peer: Hello) {
        kernel.execute { core, _ -> core.peerUp(peer.member, peer.peerAddress) }
        log.info { "peer_up ${peer.member} ${peer.peerAddress}" }
    }

    private fun onPeerDown(peer: Hello, reason: String) {
        kernel.execute { core, now -> core.peerDown(now, peer.peerAddress) }
        log.info { "peer_down ${peer.member} reason=$reason" }
    }

    private fun onPeerFault(remoteAddress: String, reason: String) {
        kernel.execute { core, now -> core.peerDown(now, remoteAddress) }
        log.debug { "peer_fault $remoteAddress reason=$reason" }
    }
}
