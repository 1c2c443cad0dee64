// Classifies the errors of system calls on sockets by how the caller has to handle them.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <cerrno>

namespace yoketurn {

// The kernel has temporarily no memory for socket buffers. The socket may still be reported ready, so retry
// after this delay: an immediate retry would make the event loop spin.
inline constexpr double kOutOfMemoryRetrySeconds = 0.01;
inline bool is_out_of_memory(const boost::system::error_code& error) {
  return error == boost::asio::error::no_buffer_space || error == boost::asio::error::no_memory;
}

// The socket is not ready; repeat the call once it is.
inline bool would_block(const boost::system::error_code& error) {
  return error == boost::asio::error::would_block || error == boost::asio::error::try_again;
}

// The connection is intact; repeat the call at once or once the socket is ready.
inline bool is_transient(const boost::system::error_code& error) {
  return would_block(error) || error == boost::asio::error::interrupted;
}

// Opening a connection failed for lack of a descriptor, port, memory or permission on this host. Says nothing
// about the peer.
inline bool is_local_resource_error(const boost::system::error_code& error) {
  static constexpr std::array kLocalErrors{EMFILE, ENFILE, EADDRNOTAVAIL, EACCES,
                                           EAGAIN, EPERM,  ENOMEM,        ENOBUFS};
  return error.category() == boost::system::system_category() &&
         std::find(kLocalErrors.begin(), kLocalErrors.end(), error.value()) != kLocalErrors.end();
}

}  // namespace yoketurn
