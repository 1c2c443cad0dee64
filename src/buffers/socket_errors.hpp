// What the errors of system calls on sockets mean to those who read, write and connect them.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>
#include <cerrno>

namespace yoketurn {

// A lack of memory for buffers on this machine, which passes. The socket may well be ready meanwhile: the
// call is made again after a while, or the loop would do nothing else.
inline constexpr double kRetryAfterLack = 0.01;  // seconds
inline bool is_lack_of_memory(const boost::system::error_code& error) {
  return error == boost::asio::error::no_buffer_space || error == boost::asio::error::no_memory;
}

// The socket is not ready; the call is made again once it is.
inline bool is_not_ready(const boost::system::error_code& error) {
  return error == boost::asio::error::would_block || error == boost::asio::error::try_again;
}

// The call is made again, at once or once the socket is ready: nothing has happened to the connection.
inline bool is_transient(const boost::system::error_code& error) {
  return is_not_ready(error) || error == boost::asio::error::interrupted;
}

// A connection could not be opened for want of a descriptor, port, memory or permission on this machine: that
// tells nothing of the peer.
inline bool is_local_lack(const boost::system::error_code& error) {
  static constexpr std::array kLacks{EMFILE, ENFILE, EADDRNOTAVAIL, EACCES, EAGAIN, EPERM, ENOMEM, ENOBUFS};
  return error.category() == boost::system::system_category() &&
         std::find(kLacks.begin(), kLacks.end(), error.value()) != kLacks.end();
}

}  // namespace yoketurn
