#include <event2/bufferevent_ssl.h>
#include <openssl/err.h>
#include <openssl/ssl.h>

#include <string>

#include "gateway_p.h"

namespace egretladder::gateway {

struct TlsContext {
  SSL_CTX* context = nullptr;
};

void TlsContextFree::operator()(TlsContext* context) const {
  SSL_CTX_free(context->context);
  delete context;
}

namespace {

// OpenSSL's messages describe what is wrong with a file, but not its content.
kernel::Error TlsError(const std::string& file) {
  const char* reason = ERR_reason_error_string(ERR_get_error());
  ERR_clear_error();
  return kernel::MakeError(kernel::ErrorCode::kInvalidInput, "read TLS file",
                           file, reason == nullptr ? "not valid" : reason);
}

}  // namespace

kernel::Result<std::unique_ptr<TlsContext, TlsContextFree>> OpenTls(
    const TlsOptions& options) {
  std::unique_ptr<TlsContext, TlsContextFree> made(new TlsContext);
  made->context = SSL_CTX_new(TLS_server_method());
  SSL_CTX_set_min_proto_version(made->context, TLS1_2_VERSION);
  if (SSL_CTX_use_certificate_chain_file(made->context,
                                         options.certificate.c_str()) != 1) {
    return TlsError(options.certificate);
  }
  if (SSL_CTX_use_PrivateKey_file(made->context, options.key.c_str(),
                                  SSL_FILETYPE_PEM) != 1 ||
      SSL_CTX_check_private_key(made->context) != 1) {
    return TlsError(options.key);
  }
  return made;
}

net::Bufferevent NewTlsBuffer(event_base* base, evutil_socket_t fd,
                              TlsContext& context) {
  SSL* session = SSL_new(context.context);
  if (session == nullptr) return nullptr;
  net::Bufferevent buffer(bufferevent_openssl_socket_new(
      base, fd, session, BUFFEREVENT_SSL_ACCEPTING, BEV_OPT_CLOSE_ON_FREE));
  if (buffer != nullptr) {
    // Callers often disconnect without a close_notify alert. HTTP checks the
    // lengths itself.
    bufferevent_openssl_set_allow_dirty_shutdown(buffer.get(), 1);
  }
  return buffer;
}

}  // namespace egretladder::gateway
